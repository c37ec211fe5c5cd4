//! Operators' orders that carry no number: the leader carries out none that may have been given up.
//!
//! An order can be delayed on its way, at a host that was suspended or in a call to the leader. Its operator gives up
//! meanwhile, gives it to another host, and may then give the opposite order. Were the delayed one carried out after
//! that, it would undo an acknowledged order.
//!
//! The host that receives an order therefore reads the leader's [`Position`] first, and sends the order with a
//! [`Precondition`]: the leader is still the same, it has accepted no other order about the same [`Subject`] since, and
//! its clock has not passed the time by which the operator may have given up. The leader checks it with its [`Sequence`].
//!
//! Routing tables need none of this: their versions order them.

mod position;
mod sequence;
mod subject;

pub use position::MAX_AGE;
pub use position::Position;
pub use position::Precondition;
pub use position::not_carried_out;
pub use sequence::Sequence;
pub use subject::Order;
pub use subject::Subject;
