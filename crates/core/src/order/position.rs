//! What a host reads from the leader before it sends an order there, and what it sends along.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;

/// How old an order may be when the leader accepts it: less than the second for which operators wait for a response.
pub const MAX_AGE: Duration = Duration::from_millis(800);

/// How far the leader has come when a host reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Identifies the leader for as long as it leads.
    pub leader: u64,
    /// How many orders it has accepted.
    pub accepted: u64,
    /// The leader's time.
    pub at: Instant,
}

/// What must hold for the leader to accept an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Precondition {
    /// The leader is this one.
    pub leader: u64,
    /// It has accepted no order about the same subject after its first so many.
    pub accepted: u64,
    /// Its clock is not past this time.
    pub latest: Instant,
}

impl Position {
    /// The precondition of an order that is at most `age` old by the clock of the host that has just received this
    /// position. Only the rates of the two clocks are compared: the position is older than its receipt, so the leader's
    /// clock passes `latest` no later than the order becomes older than [`MAX_AGE`].
    ///
    /// # Errors
    ///
    /// [`Code::NotCarriedOut`] if the order is too old already.
    pub fn precondition(&self, age: Duration) -> Result<Precondition, Refusal> {
        let remaining = MAX_AGE.checked_sub(age).ok_or_else(too_old)?;
        Ok(Precondition {
            leader: self.leader,
            accepted: self.accepted,
            latest: self.at + remaining,
        })
    }
}

/// Returns the refusal of an order that was not carried out because of `why`, and will not be.
#[must_use]
pub fn not_carried_out(why: &Refusal) -> Refusal {
    let why = why.get_detail();
    let why = format!("the order was not carried out: {why}; send it again");
    Refusal::new(Code::NotCarriedOut, why)
}

/// The refusal of an order that is older than [`MAX_AGE`].
pub(super) fn too_old() -> Refusal {
    let why = "the order was not carried out: it was delayed for so long that its operator may have given it up; \
               send it again if it is still wanted";
    Refusal::new(Code::NotCarriedOut, why)
}
