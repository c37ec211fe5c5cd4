//! Numbered lists of entries, and how services and shards are assigned to them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash64;

use crate::id;

/// How many entries store each shard.
pub const REPLICAS_PER_SHARD: usize = 3;

/// An entry of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its host.
    pub host: id::Host,
    /// The data hall of the host.
    pub hall: id::Hall,
    /// The address for other processes.
    pub rpc: SocketAddr,
    /// The address for callers.
    pub http: SocketAddr,
    /// A random number generated at its start: after a restart it counts as another member.
    pub incarnation: u64,
    /// Whether it is stopping; then it owns no queue and stores no shard.
    pub leaving: bool,
    /// Whether the operators prefer it as an owner of services' queues.
    pub owns: bool,
}

/// A view: the entries that share the work, under a number.
///
/// # Examples
///
/// ```
/// use curlewlift_core::id::Shard;
/// use curlewlift_core::view::Roster;
/// assert!(Roster::default().replicas(Shard(1)).is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Its number; 0 is the empty view.
    pub number: id::View,
    /// Its members, sorted by host.
    pub members: Vec<Member>,
}

impl Roster {
    /// The member on `host`.
    #[must_use]
    pub fn get(&self, host: &id::Host) -> Option<&Member> {
        self.members.iter().find(|member| &member.host == host)
    }

    /// Whether the process of `member` is in this view, by host and incarnation.
    #[must_use]
    pub fn has(&self, member: &Member) -> bool {
        self.get(&member.host)
            .is_some_and(|known| known.incarnation == member.incarnation)
    }

    /// The entry that owns the queue of `service`.
    ///
    /// Rendezvous hashing picks it: when a member leaves, only the services that it owned move.
    /// Members with `owns` take precedence over all others. Linear in the members.
    #[must_use]
    pub fn owner(&self, service: &id::Service) -> Option<&Member> {
        let rank = |member: &&Member| weight(member, service.as_str().as_bytes());
        let staying = || self.members.iter().filter(|member| !member.leaving);
        let owners = staying().filter(|member| member.owns).max_by_key(rank);
        owners.or_else(|| staying().max_by_key(rank))
    }

    /// The entries that store `shard`, in different data halls if there are enough. The first one
    /// decides between competing claims.
    ///
    /// Linear in the members: one pass for each replica.
    #[must_use]
    pub fn replicas(&self, shard: id::Shard) -> Vec<&Member> {
        let staying = self.members.iter().filter(|member| !member.leaving);
        let weigh = |member| (weight(member, &shard.0.to_be_bytes()), member);
        let ranked: Vec<(u64, &Member)> = staying.map(weigh).collect();
        let mut chosen: Vec<&Member> = Vec::with_capacity(REPLICAS_PER_SHARD);
        while chosen.len() < REPLICAS_PER_SHARD {
            let free = |member: &Member| chosen.iter().all(|other| other.host != member.host);
            let new_hall = |member: &Member| chosen.iter().all(|other| other.hall != member.hall);
            let best = |fits: &dyn Fn(&Member) -> bool| {
                let fitting = ranked.iter().filter(|pair| fits(pair.1));
                fitting.max_by_key(|pair| pair.0).map(|pair| pair.1)
            };
            let Some(next) = best(&new_hall).or_else(|| best(&free)) else {
                break;
            };
            chosen.push(next);
        }
        chosen
    }
}

/// The rendezvous hash of `member` for the key `what`; the member with the highest one wins.
fn weight(member: &Member, what: &[u8]) -> u64 {
    let seed = XxHash64::oneshot(0, member.host.as_str().as_bytes());
    XxHash64::oneshot(seed, what)
}
