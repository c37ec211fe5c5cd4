//! Identifiers that are numbers or hashes.

use std::collections::BTreeSet;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => { $(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        crate::text::number_text!($name);
    )* };
}

numbers! {
    /// The identity of a control host's disk, chosen when the disk is first written: a random number, or for a founder of the
    /// log a hash ([`Disk::of_founder`]).
    Disk,
    /// An index in the replicated log; the first entry has index 1.
    Index,
    /// A revision of the configuration; each accepted change creates the next one.
    Revision,
    /// A shard of the space of request keys.
    Shard,
    /// A term of the replicated log; each term has at most one leader.
    Term,
    /// The number of a request in a service's queue, unique at the entry that sent it.
    Ticket,
    /// A view: a numbered list of the entries that share the work.
    View,
}

impl Disk {
    /// The identity of the disk with which `host` founds a log together with the others of `founders`.
    ///
    /// All founders compute the same ones, so that each has the whole replica set before it has heard of another. A disk that
    /// is blank later gets a random identity.
    #[must_use]
    pub fn of_founder(host: &super::Host, founders: &BTreeSet<super::Host>) -> Self {
        use sha2::Digest;
        let mut hash = sha2::Sha256::new();
        for name in std::iter::once(host).chain(founders) {
            hash.update(name.as_str());
            hash.update([0]);
        }
        let digest = hash.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(prefix))
    }
}

/// A customer's request key, as a 128-bit hash.
///
/// The customer's name is hashed too, so equal keys of two customers have different hashes.
///
/// # Examples
///
/// ```
/// use curlewlift_core::id;
/// let one: id::Customer = "one".parse()?;
/// let two: id::Customer = "two".parse()?;
/// assert_ne!(id::Key::new(&one, "k"), id::Key::new(&two, "k"));
/// # Ok::<(), id::InvalidName>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

impl Key {
    /// The hash of the request key `text` of `customer`.
    #[must_use]
    pub fn new(customer: &super::Customer, text: &str) -> Self {
        use sha2::Digest;
        let mut hash = sha2::Sha256::new();
        hash.update(customer.as_str());
        hash.update([0]);
        hash.update(text);
        let digest = hash.finalize();
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(prefix))
    }

    /// The shard, out of `count`, that stores this key.
    ///
    /// # Panics
    ///
    /// If `count` is zero.
    #[must_use]
    pub fn shard(self, count: u64) -> Shard {
        #[allow(clippy::cast_possible_truncation)]
        let low_bits = self.0 as u64;
        Shard(low_bits % count)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Key {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
