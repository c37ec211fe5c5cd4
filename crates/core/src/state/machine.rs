//! The machine that applies what is committed.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;
use crate::config::Right;
use crate::config::Snapshot;
use crate::evacuation::EvacuatedHalls;
use crate::gateway::Shares;
use crate::id;
use crate::lang;
use crate::lang::Statement;
use crate::quarantine;
use crate::rollout::Plans;
use crate::view::Roster;

use super::AuditEntry;
use super::Command;
use super::CommandResults;
use super::Publication;
use super::Record;

/// How many lines of the audit trail are kept.
const MAX_AUDIT_ENTRIES: usize = 10_000;

/// How many steps between revisions are kept, for those who are a little behind.
const MAX_RECENT_STEPS: usize = 256;

/// The change that made a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The revision that it made.
    pub revision: id::Revision,
    /// The change, in the operators' language.
    pub line: String,
}

/// Configuration, ledger, audit trail and view, as one value that every replica computes alike.
///
/// # Examples
///
/// ```
/// use curlewlift_core::state::Command;
/// use curlewlift_core::state::Machine;
/// use curlewlift_core::state::Record;
/// let mut machine = Machine::default();
/// let command = Command {
///     operator: "root".parse()?,
///     number: 1,
///     line: "create tier live rank=0".to_owned(),
/// };
/// let first = machine.apply(&Record::Command(command.clone()));
/// let again = machine.apply(&Record::Command(command));
/// assert_eq!(first, again);
/// # Ok::<(), curlewlift_core::id::Invalid>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    snapshot: Arc<Snapshot>,
    #[serde(rename = "ledger")]
    results: CommandResults,
    audit: VecDeque<AuditEntry>,
    roster: Roster,
    #[serde(rename = "previous")]
    previous_roster: Roster,
    #[serde(rename = "recent")]
    recent_steps: VecDeque<Step>,
    #[serde(default)]
    publication: Publication,
    #[serde(default)]
    #[serde(rename = "parts")]
    shares: Shares,
    #[serde(default)]
    #[serde(rename = "deputies")]
    standbys: Shares,
    #[serde(default)]
    #[serde(rename = "plans")]
    rollouts: Plans,
    #[serde(default)]
    quarantine: quarantine::List,
    #[serde(default)]
    #[serde(rename = "evacuated")]
    evacuated_halls: EvacuatedHalls,
}

impl Machine {
    /// Applies one committed record.
    ///
    /// # Errors
    ///
    /// The reason why a command is refused; the refusal is part of the state.
    pub fn apply(&mut self, record: &Record) -> Result<id::Revision, Refusal> {
        match record {
            Record::Command(command) => self.apply_command(command),
            Record::Roster(roster) => {
                if roster.number > self.roster.number {
                    self.previous_roster = std::mem::replace(&mut self.roster, roster.clone());
                }
                Ok(self.snapshot.revision)
            }
            Record::Publication(publication) => {
                self.apply_publication(publication);
                Ok(self.snapshot.revision)
            }
            Record::Shares(parts) => {
                self.shares = parts.clone();
                Ok(self.snapshot.revision)
            }
            Record::Standbys(parts) => {
                self.standbys = parts.clone();
                Ok(self.snapshot.revision)
            }
            Record::Rollout(step) => {
                self.rollouts.apply(step)?;
                Ok(self.snapshot.revision)
            }
            Record::Quarantine(steps) => {
                for step in steps {
                    self.quarantine.apply(step);
                }
                Ok(self.snapshot.revision)
            }
            Record::Evacuation(order) => {
                self.evacuated_halls.apply(order);
                Ok(self.snapshot.revision)
            }
        }
    }

    /// Takes up a routing table; one whose number is not above the one in force changes nothing.
    fn apply_publication(&mut self, publication: &Publication) {
        if publication.number > self.publication.number {
            self.publication = publication.clone();
        }
    }

    fn apply_command(&mut self, command: &Command) -> Result<id::Revision, Refusal> {
        if let Some(answer) = self.results.get(command) {
            return answer;
        }
        let answer = self.apply_change(&command.line);
        self.results.put(command, answer.clone());
        self.audit.push_back(AuditEntry {
            operator: command.operator.clone(),
            number: command.number,
            revision: self.snapshot.revision,
            code: answer
                .as_ref()
                .map_or_else(|why| why.get_code().number(), |_| 0),
            line: command.line.clone(),
        });
        if self.audit.len() > MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
        answer
    }

    fn apply_change(&mut self, line: &str) -> Result<id::Revision, Refusal> {
        let Statement::Change(change) = lang::parse(line)? else {
            return Err(Refusal::new(Code::Syntax, "only a change is numbered"));
        };
        self.snapshot = Arc::new(self.snapshot.apply(&change)?);
        self.recent_steps.push_back(Step {
            revision: self.snapshot.revision,
            line: line.to_owned(),
        });
        if self.recent_steps.len() > MAX_RECENT_STEPS {
            self.recent_steps.pop_front();
        }
        Ok(self.snapshot.revision)
    }
}

/// # What it knows
impl Machine {
    /// The configuration in force.
    #[must_use]
    pub fn get_snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The routing table in force; number 0 where none was published.
    #[must_use]
    pub fn get_publication(&self) -> &Publication {
        &self.publication
    }

    /// Which gateways hold a part of the sendings past the first that they may do by themselves.
    #[must_use]
    pub fn get_shares(&self) -> &Shares {
        &self.shares
    }

    /// Which gateways hold a part of what may be let in without the hub's word.
    #[must_use]
    pub fn get_standbys(&self) -> &Shares {
        &self.standbys
    }

    /// The roll-outs.
    #[must_use]
    pub fn get_rollouts(&self) -> &Plans {
        &self.rollouts
    }

    /// The requests under which servers ended.
    #[must_use]
    pub fn get_quarantine(&self) -> &quarantine::List {
        &self.quarantine
    }

    /// The data halls that are evacuated.
    #[must_use]
    pub fn get_evacuated_halls(&self) -> &EvacuatedHalls {
        &self.evacuated_halls
    }

    /// The newest view.
    #[must_use]
    pub fn get_roster(&self) -> &Roster {
        &self.roster
    }

    /// The view before it.
    #[must_use]
    pub fn get_previous_roster(&self) -> &Roster {
        &self.previous_roster
    }

    /// The steps that lead from `revision` to the one in force; none where they are not kept.
    #[must_use]
    pub fn steps_since(&self, revision: id::Revision) -> Option<Vec<Step>> {
        let missing = usize::try_from(self.snapshot.revision.0.checked_sub(revision.0)?).ok()?;
        let first = self.recent_steps.len().checked_sub(missing)?;
        Some(self.recent_steps.iter().skip(first).cloned().collect())
    }

    /// The audit trail, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &AuditEntry> {
        self.audit.iter()
    }

    /// The answer to `command`, if its number was used before.
    #[must_use]
    pub fn recorded_result(&self, command: &Command) -> Option<Result<id::Revision, Refusal>> {
        self.results.get(command)
    }

    /// Whether `operator`, whose key has the hash `digest`, may ask or change.
    ///
    /// Before there is any operator, `root` may do all: the first command creates the first one.
    ///
    /// # Errors
    ///
    /// [`Code::Forbidden`].
    pub fn authorize(
        &self,
        operator: &id::Operator,
        digest: &str,
        right: Right,
    ) -> Result<(), Refusal> {
        use subtle::ConstantTimeEq;
        let operators = &self.snapshot.operators;
        if operators.is_empty() && operator.as_str() == "root" {
            return Ok(());
        }
        let known = operators
            .get(operator)
            .filter(|known| bool::from(known.key_hash.as_bytes().ct_eq(digest.as_bytes())));
        let Some(known) = known else {
            let why = format!("`{operator}` is no operator with that key");
            return Err(Refusal::new(Code::Forbidden, why));
        };
        if known.right == Right::Read && right == Right::Write {
            let why = format!("`{operator}` may ask but not change");
            return Err(Refusal::new(Code::Forbidden, why));
        }
        Ok(())
    }

    /// The state as bytes, for a snapshot of the log.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the machine has a JSON form")
    }

    /// Reads what [`Machine::encode`] wrote; no bytes are an empty machine.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] where the bytes are not a machine.
    pub fn decode(bytes: &[u8]) -> Result<Self, Refusal> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_slice(bytes).map_err(|why| Refusal::new(Code::Damaged, why.to_string()))
    }
}
