//! The state machine that applies committed records.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;
use crate::config::Right;
use crate::config::Snapshot;
use crate::evacuation::EvacuatedHalls;
use crate::gateway::RetryBlocks;
use crate::gateway::Shares;
use crate::id;
use crate::lang;
use crate::lang::Statement;
use crate::order::Order;
use crate::quarantine;
use crate::rollout::Plans;
use crate::stream;
use crate::view::Roster;

use super::AuditEntry;
use super::Command;
use super::CommandResults;
use super::Publication;
use super::Record;

/// Maximum number of entries in the audit trail.
const MAX_AUDIT_ENTRIES: usize = 10_000;

/// Maximum number of stored steps between revisions; they update entries that are a few revisions
/// behind.
const MAX_RECENT_STEPS: usize = 256;

/// The change that created a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The revision that it created.
    pub revision: id::Revision,
    /// The change, in the operators' language.
    pub line: String,
}

/// The replicated state: configuration, command results, audit trail, view, routing table and the
/// records of the other features. Every replica computes the same state from the log.
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
/// # Ok::<(), curlewlift_core::id::InvalidName>(())
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
    retry_shares: Shares,
    #[serde(default)]
    retry_blocks: RetryBlocks,
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
    #[serde(default)]
    stream_versions: stream::Versions,
}

impl Machine {
    /// Applies one committed record.
    ///
    /// # Errors
    ///
    /// The reason why a command or a step of a roll-out is refused. The refusal of a command is part of
    /// the state.
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
            Record::RetryShares(shares) => {
                self.retry_shares = shares.clone();
                Ok(self.snapshot.revision)
            }
            Record::RetryBlocks(blocks) => {
                self.retry_blocks = blocks.clone();
                Ok(self.snapshot.revision)
            }
            Record::Standbys(standbys) => {
                self.standbys = standbys.clone();
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
            Record::StreamVersions(steps) => {
                for step in steps {
                    self.stream_versions.apply(step);
                }
                Ok(self.snapshot.revision)
            }
        }
    }

    /// Replaces the routing table; ignores one whose version is not higher than the current one's.
    fn apply_publication(&mut self, publication: &Publication) {
        if publication.version > self.publication.version {
            self.publication = publication.clone();
        }
    }

    fn apply_command(&mut self, command: &Command) -> Result<id::Revision, Refusal> {
        if let Some(result) = self.results.get(command) {
            return result;
        }
        let result = self.apply_change(&command.line);
        self.results.put(command, result.clone());
        self.audit.push_back(AuditEntry {
            operator: command.operator.clone(),
            number: command.number,
            revision: self.snapshot.revision,
            code: result
                .as_ref()
                .map_or_else(|error| error.get_code().number(), |_| 0),
            line: command.line.clone(),
        });
        if self.audit.len() > MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
        result
    }

    fn apply_change(&mut self, line: &str) -> Result<id::Revision, Refusal> {
        let Statement::Change(change) = lang::parse(line)? else {
            return Err(Refusal::new(
                Code::Syntax,
                "the command is no change; only changes have a number",
            ));
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

/// # Read access
impl Machine {
    /// The configuration in effect.
    #[must_use]
    pub fn get_snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The routing table in effect; its version is 0 if none was published.
    #[must_use]
    pub fn get_publication(&self) -> &Publication {
        &self.publication
    }

    /// The gateways that hold a share of the retries, which they may use without the hub.
    #[must_use]
    pub fn get_retry_shares(&self) -> &Shares {
        &self.retry_shares
    }

    /// The blocks of retries that hubs have drawn.
    #[must_use]
    pub fn get_retry_blocks(&self) -> &RetryBlocks {
        &self.retry_blocks
    }

    /// The standby gateways: those that hold a share of what may be admitted without the hub.
    #[must_use]
    pub fn get_standbys(&self) -> &Shares {
        &self.standbys
    }

    /// The roll-outs.
    #[must_use]
    pub fn get_rollouts(&self) -> &Plans {
        &self.rollouts
    }

    /// The quarantine list: requests under which servers crashed.
    #[must_use]
    pub fn get_quarantine(&self) -> &quarantine::List {
        &self.quarantine
    }

    /// The data halls that are evacuated.
    #[must_use]
    pub fn get_evacuated_halls(&self) -> &EvacuatedHalls {
        &self.evacuated_halls
    }

    /// Whether an operator's order would change nothing, as its effect is already in place.
    ///
    /// # Errors
    ///
    /// [`Code::Conflict`] or [`Code::Unknown`] if the order cannot be carried out in this state.
    pub fn has_order(&self, order: &Order) -> Result<bool, Refusal> {
        match order {
            Order::Evacuate(order) => Ok(self.evacuated_halls.is_applied(order)),
            Order::RollOut(order) => {
                self.rollouts.check_order(order)?;
                Ok(self.rollouts.has_order(order))
            }
            Order::ReleasePart(part) if self.quarantine.get_part(*part).is_none() => {
                let why =
                    format!("no backend server has crashed under requests with the part {part}");
                Err(Refusal::new(Code::Unknown, why))
            }
            Order::ReleasePart(_) => Ok(false),
        }
    }

    /// The versions at which streams may begin.
    #[must_use]
    pub fn get_stream_versions(&self) -> &stream::Versions {
        &self.stream_versions
    }

    /// The newest view.
    #[must_use]
    pub fn get_roster(&self) -> &Roster {
        &self.roster
    }

    /// The view before the newest one.
    #[must_use]
    pub fn get_previous_roster(&self) -> &Roster {
        &self.previous_roster
    }

    /// The steps from `revision` to the one in effect; `None` if they are not all stored.
    #[must_use]
    pub fn steps_since(&self, revision: id::Revision) -> Option<Vec<Step>> {
        let count = usize::try_from(self.snapshot.revision.0.checked_sub(revision.0)?).ok()?;
        let first = self.recent_steps.len().checked_sub(count)?;
        Some(self.recent_steps.iter().skip(first).cloned().collect())
    }

    /// The audit trail, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &AuditEntry> {
        self.audit.iter()
    }

    /// The result of `command`, if its number was used before.
    #[must_use]
    pub fn recorded_result(&self, command: &Command) -> Option<Result<id::Revision, Refusal>> {
        self.results.get(command)
    }

    /// Checks that `operator`, whose key has the hash `digest`, has `right`.
    ///
    /// While the configuration has no operators, `root` has every right, so that it can create the
    /// first one.
    ///
    /// # Errors
    ///
    /// [`Code::Forbidden`] if the operator or the key is unknown, or the right is missing.
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
            let message = format!("there is no operator `{operator}` with that key");
            return Err(Refusal::new(Code::Forbidden, message));
        };
        if known.right == Right::Read && right == Right::Write {
            let message = format!("`{operator}` may ask but not change");
            return Err(Refusal::new(Code::Forbidden, message));
        }
        Ok(())
    }

    /// Encodes the state, for a snapshot of the log.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the machine has a JSON form")
    }

    /// Decodes the result of [`Machine::encode`]; no bytes give an empty machine.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] if the bytes are not an encoded machine.
    pub fn decode(bytes: &[u8]) -> Result<Self, Refusal> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_slice(bytes)
            .map_err(|error| Refusal::new(Code::Damaged, error.to_string()))
    }
}
