//! The numbers of operators' commands, and what was answered to each.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;

use super::Command;

/// How many answers are kept for one operator.
const KEPT: usize = 1_000;

/// What was answered to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The command's line.
    pub line: String,
    /// The revision that it made, or the reason why it was refused.
    pub answer: Result<id::Revision, Refusal>,
}

/// One operator's commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Page {
    done: BTreeMap<u64, Done>,
    dropped: Option<u64>,
}

/// The answers to the commands, by operator and number.
///
/// A number is answered once: again with the same line it gets the first answer, with another line
/// a conflict. Lookup is logarithmic; memory is bounded by a thousand lines an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pages: BTreeMap<id::Operator, Page>,
}

impl Ledger {
    /// The answer to `command`, if its number was used before.
    #[must_use]
    pub fn get(&self, command: &Command) -> Option<Result<id::Revision, Refusal>> {
        let page = self.pages.get(&command.operator)?;
        if page
            .dropped
            .is_some_and(|dropped| command.number <= dropped)
        {
            let why = format!(
                "number {} is too old: its answer is not kept",
                command.number
            );
            return Some(Err(Refusal::new(Code::Conflict, why)));
        }
        let done = page.done.get(&command.number)?;
        if done.line == command.line {
            return Some(done.answer.clone());
        }
        let first = &done.line;
        let why = format!("number {} was used for: {first}", command.number);
        Some(Err(Refusal::new(Code::Conflict, why)))
    }

    /// Keeps the answer to `command`.
    pub fn put(&mut self, command: &Command, answer: Result<id::Revision, Refusal>) {
        let page = self.pages.entry(command.operator.clone()).or_default();
        let done = Done {
            line: command.line.clone(),
            answer,
        };
        page.done.insert(command.number, done);
        if page.done.len() > KEPT {
            page.dropped = page.done.pop_first().map(|first| first.0);
        }
    }
}
