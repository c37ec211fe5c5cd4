//! Request keys that an entry draws itself.
//!
//! Such a key names the entry that drew it, and that entry alone has what became of the request: no
//! other can have it begun, so no claim is needed. Where the entry is gone the fate is unknown.

use curlewlift_core::claim::Record;
use curlewlift_core::claim::Status;
use curlewlift_core::clock::Instant;
use curlewlift_core::id;
use curlewlift_core::view::Member;
use rand::Rng;

/// What every such key begins with.
const MARK: &str = "e.";

/// A new key of the entry `member`.
pub(super) fn draw(member: &Member) -> String {
    let drawn = rand::rng().next_u64();
    format!(
        "{MARK}{:016x}.{drawn:016x}.{}",
        member.incarnation, member.host
    )
}

/// The record that a claim would have left, if `key` was drawn by an entry.
pub(super) fn record(key: &str, digest: u64) -> Option<Record> {
    let rest = key.strip_prefix(MARK)?;
    let (incarnation, rest) = rest.split_once('.')?;
    let (drawn, host) = rest.split_once('.')?;
    u64::from_str_radix(drawn, 16).ok()?;
    Some(Record {
        digest,
        holder: host.parse().ok()?,
        incarnation: u64::from_str_radix(incarnation, 16).ok()?,
        ticket: id::Ticket(0),
        status: Status::Open,
        written: Instant::default(),
    })
}
