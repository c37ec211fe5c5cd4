//! The set of replicas.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Disk;
use crate::id::Host;

/// A replica, identified by its host and its disk: with another disk it is another replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: Host,
    /// The disk's identity.
    pub disk: Disk,
    /// Whether it is a voter; otherwise it is a learner, which receives entries but does not count
    /// towards a majority.
    pub voter: bool,
}

/// The replica set at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub Vec<Member>);

impl Members {
    /// The member on `host`.
    #[must_use]
    pub fn get(&self, host: &Host) -> Option<&Member> {
        self.0.iter().find(|member| &member.host == host)
    }

    /// Whether the replica on `host` with `disk` is a member.
    #[must_use]
    pub fn contains(&self, host: &Host, disk: Disk) -> bool {
        self.get(host).is_some_and(|member| member.disk == disk)
    }

    /// Whether the replica on `host` with `disk` is a voter.
    #[must_use]
    pub fn is_voter(&self, host: &Host, disk: Disk) -> bool {
        self.get(host)
            .is_some_and(|member| member.disk == disk && member.voter)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.0.iter().filter(|member| member.voter)
    }

    /// How many voters make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The set with `member` added; it replaces the member on the same host, if there is one.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut next = self.without(&member.host);
        next.0.push(member);
        next
    }

    /// The set without the member on `host`.
    #[must_use]
    pub fn without(&self, host: &Host) -> Self {
        let others = self.0.iter().filter(|member| &member.host != host);
        Self(others.cloned().collect())
    }
}
