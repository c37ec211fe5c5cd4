//! The leader's side: the order in which it accepts orders.

use std::collections::VecDeque;

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;

use super::MAX_AGE;
use super::Position;
use super::Precondition;
use super::Subject;
use super::position;

/// The orders that a leader accepts, one after the other. A new leader begins a new sequence, so that it accepts nothing
/// that was sent to a former one.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::order::Sequence;
/// use curlewlift_core::order::Subject;
/// let mut sequence = Sequence::new(1);
/// let now = Instant::default();
/// let hall = Subject::Hall("a".into());
/// let first = sequence.position(now).precondition(Duration::ZERO)?;
/// let second = sequence.position(now).precondition(Duration::ZERO)?;
/// assert!(sequence.accept(&first, hall.clone(), now).is_ok());
/// assert!(sequence.accept(&second, hall, now).is_err(), "another order was accepted since");
/// # Ok::<(), curlewlift_core::code::Refusal>(())
/// ```
#[derive(Clone, Debug)]
pub struct Sequence {
    leader: u64,
    accepted: u64,
    /// The orders accepted within [`MAX_AGE`], oldest first, with their numbers. A precondition from before an older one has
    /// expired.
    recent: VecDeque<(Subject, u64, Instant)>,
}

impl Sequence {
    /// The sequence of a leader that has just been elected. No two have the same `leader`.
    #[must_use]
    pub fn new(leader: u64) -> Self {
        Self {
            leader,
            accepted: 0,
            recent: VecDeque::new(),
        }
    }

    /// How far the sequence has come.
    #[must_use]
    pub fn position(&self, now: Instant) -> Position {
        Position {
            leader: self.leader,
            accepted: self.accepted,
            at: now,
        }
    }

    /// Accepts an order about `subject` as the next one. It must be proposed to the log at once, so that those accepted
    /// later come after it in the log.
    ///
    /// # Errors
    ///
    /// [`Code::NotCarriedOut`] if the precondition does not hold.
    pub fn accept(
        &mut self,
        precondition: &Precondition,
        subject: Subject,
        now: Instant,
    ) -> Result<(), Refusal> {
        if precondition.leader != self.leader {
            let why = "the order was not carried out: the leader has changed; send it again";
            return Err(Refusal::new(Code::NotCarriedOut, why));
        }
        if now > precondition.latest {
            return Err(position::too_old());
        }
        let overtaken = |(other, number, _): &(Subject, u64, Instant)| {
            *other == subject && *number > precondition.accepted
        };
        if self.recent.iter().any(overtaken) {
            let why = "the order was not carried out: another one about the same was accepted meanwhile; \
                       send it again if it is still wanted";
            return Err(Refusal::new(Code::NotCarriedOut, why));
        }
        while let Some((_, _, at)) = self.recent.front()
            && now.since(*at) > MAX_AGE
        {
            self.recent.pop_front();
        }
        self.accepted += 1;
        self.recent.push_back((subject, self.accepted, now));
        Ok(())
    }
}
