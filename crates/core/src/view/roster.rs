//! A numbered list of entries, and the maps that follow from it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash64;

use crate::id;

/// How many entries keep each shard.
pub const REPLICAS_PER_SHARD: usize = 3;

/// An entry of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its host.
    pub host: id::Host,
    /// The data hall that it stands in.
    pub hall: id::Hall,
    /// Where the other processes reach it.
    pub rpc: SocketAddr,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Drawn at its start: after a restart it is another member.
    pub incarnation: u64,
    /// Whether it is stopping: then it owns nothing and keeps nothing.
    pub leaving: bool,
    /// Whether it may own services' queues.
    pub owns: bool,
}

/// A view.
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
    /// Its members, by host.
    pub members: Vec<Member>,
}

impl Roster {
    /// The member on `host`.
    #[must_use]
    pub fn get(&self, host: &id::Host) -> Option<&Member> {
        self.members.iter().find(|member| &member.host == host)
    }

    /// Whether the very process that is `member` is in it.
    #[must_use]
    pub fn has(&self, member: &Member) -> bool {
        self.get(&member.host)
            .is_some_and(|known| known.incarnation == member.incarnation)
    }

    /// The entry that orders the waiting work of `service`.
    ///
    /// By rendezvous hashing: where a member goes, only what it owned moves. Members that the
    /// operators set aside for it go before all others. Linear in members.
    #[must_use]
    pub fn owner(&self, service: &id::Service) -> Option<&Member> {
        let rank = |member: &&Member| weight(member, service.as_str().as_bytes());
        let staying = || self.members.iter().filter(|member| !member.leaving);
        let owners = staying().filter(|member| member.owns).max_by_key(rank);
        owners.or_else(|| staying().max_by_key(rank))
    }

    /// The entries that keep `shard`, the deciding one first, in different data halls where there
    /// are enough.
    ///
    /// Linear in members: one look for each replica.
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

/// The rank of `member` for `what`; the highest wins.
fn weight(member: &Member, what: &[u8]) -> u64 {
    let seed = XxHash64::oneshot(0, member.host.as_str().as_bytes());
    XxHash64::oneshot(seed, what)
}
