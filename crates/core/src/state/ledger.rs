//! The numbers of operators' commands, and what was answered to each.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;

use super::Command;

/// How many answers are kept.
const KEPT: usize = 10_000;

/// What was answered to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Who gave it.
    pub operator: id::Operator,
    /// Its line.
    pub line: String,
    /// The revision that it made, or the reason why it was refused.
    pub answer: Result<id::Revision, Refusal>,
}

/// The answers to the commands, by number.
///
/// A number is answered once: again from the same operator with the same line it gets the first
/// answer; from another operator, or with another line, a conflict that names the first. Lookup is
/// logarithmic; memory is bounded by ten thousand lines, the oldest of which go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    done: BTreeMap<u64, Done>,
    order: VecDeque<u64>,
    /// The highest number of each operator whose answer is not kept any more.
    dropped: BTreeMap<id::Operator, u64>,
}

impl Ledger {
    /// The answer to `command`, if its number was used before.
    #[must_use]
    pub fn get(&self, command: &Command) -> Option<Result<id::Revision, Refusal>> {
        let Some(done) = self.done.get(&command.number) else {
            return self.too_old(command).map(Err);
        };
        if done.operator == command.operator && done.line == command.line {
            return Some(done.answer.clone());
        }
        let (operator, line) = (&done.operator, &done.line);
        let why = format!(
            "number {} was used by `{operator}` for: {line}",
            command.number
        );
        Some(Err(Refusal::new(Code::Conflict, why)))
    }

    fn too_old(&self, command: &Command) -> Option<Refusal> {
        let dropped = self.dropped.get(&command.operator)?;
        let why = format!(
            "number {} is too old: its answer is not kept",
            command.number
        );
        (command.number <= *dropped).then(|| Refusal::new(Code::Conflict, why))
    }

    /// Keeps the answer to `command`.
    pub fn put(&mut self, command: &Command, answer: Result<id::Revision, Refusal>) {
        let done = Done {
            operator: command.operator.clone(),
            line: command.line.clone(),
            answer,
        };
        self.done.insert(command.number, done);
        self.order.push_back(command.number);
        while self.order.len() > KEPT {
            let Some(number) = self.order.pop_front() else {
                return;
            };
            let Some(done) = self.done.remove(&number) else {
                continue;
            };
            let dropped = self.dropped.entry(done.operator).or_insert(number);
            *dropped = (*dropped).max(number);
        }
    }
}
