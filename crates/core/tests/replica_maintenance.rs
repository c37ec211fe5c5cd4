//! Maintenance of the replica set if replicas are admitted on request: growth, lost disks and
//! replaced hosts.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Disk;
use curlewlift_core::id::Host;
use curlewlift_core::id::Index;
use curlewlift_core::log::Body;
use curlewlift_core::log::Maintainer;
use curlewlift_core::log::Member;
use curlewlift_core::log::Replica;
use curlewlift_core::log::Role;
use curlewlift_core::log::SavedState;

use support::replicas::Node;
use support::replicas::run_steps;

/// The number of voters that tolerates one lost disk.
const TARGET_VOTERS: usize = 3;

/// Replicas, the leader's maintainer, and the time.
struct Cluster {
    nodes: Vec<Node>,
    maintainer: Maintainer,
    leader: Option<Host>,
    now: Instant,
}

impl Cluster {
    /// A cluster with only the founder; others join it.
    fn with_founder() -> Self {
        let host: Host = "c0".parse().expect("valid name");
        let now = Instant::default();
        let founder = Node::new("c0", Replica::founding_state(&host, Disk(100)), 1, now);
        Self {
            nodes: vec![founder],
            maintainer: Maintainer::new(TARGET_VOTERS),
            leader: None,
            now,
        }
    }

    /// Starts a replica with a blank disk on `host`.
    fn join(&mut self, host: &str, disk: u64) {
        self.start(host, Replica::blank_state(Disk(disk)));
    }

    fn start(&mut self, host: &str, disk: SavedState) {
        let seed = self.now.0 + self.nodes.len() as u64;
        self.nodes.push(Node::new(host, disk, seed, self.now));
    }

    /// Stops the replica on `host`; returns its disk.
    fn stop(&mut self, host: &str) -> SavedState {
        let index = self
            .nodes
            .iter()
            .position(|node| node.replica.get_host().as_str() == host);
        self.nodes.remove(index.expect("a running replica")).disk
    }

    /// Lets `time` pass. Replicas that are no members ask to be admitted, and the leader maintains
    /// the set.
    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            run_steps(&mut self.nodes, &mut self.now, 1);
            self.run_maintainer();
        }
    }

    fn run_maintainer(&mut self) {
        let now = self.now;
        let is_leader = |node: &Node| {
            node.replica.has_committed_in_term() && node.replica.reaches_majority(now)
        };
        let Some(index) = self.nodes.iter().position(is_leader) else {
            return;
        };
        let candidates = self.nodes.iter().map(|node| &node.replica);
        let candidates: Vec<_> = candidates
            .map(|replica| (replica.get_host().clone(), replica.get_disk()))
            .collect();
        let replica = &mut self.nodes[index].replica;
        if self.leader.as_ref() != Some(replica.get_host()) {
            self.leader = Some(replica.get_host().clone());
            self.maintainer = Maintainer::new(TARGET_VOTERS);
        }
        for (host, disk) in candidates {
            // There is one change at a time; a replica that is refused asks again.
            let _ = self.maintainer.admit(replica, &host, disk, now);
        }
        self.maintainer.maintain(replica, now);
    }

    /// The replica that is certain to lead.
    fn leader(&self) -> Option<&Replica> {
        let mut replicas = self.nodes.iter().map(|node| &node.replica);
        replicas.find(|replica| {
            replica.get_role() == Role::Leader && replica.reaches_majority(self.now)
        })
    }

    /// The hosts of the voters as the leader knows them; `None` if no replica is certain to lead.
    fn voters(&self) -> Option<Vec<String>> {
        let members = self.leader()?.members();
        Some(sorted_names(members.voters()))
    }

    /// The hosts of the voters and learners as the leader knows them; `None` if no replica is certain to lead.
    fn members(&self) -> Option<Vec<String>> {
        let members = self.leader()?.members();
        Some(sorted_names(members.0.iter()))
    }

    /// The index of the newest change of the replica set.
    fn last_change(&self) -> Option<Index> {
        let mut newest_first = self.leader()?.entries().iter().rev();
        let change = newest_first.find(|entry| matches!(entry.body, Body::Members(_)));
        change.map(|entry| entry.index)
    }

    /// Proposes a value; returns whether it is committed within a second.
    fn acknowledges(&mut self) -> bool {
        let now = self.now;
        let mut replicas = self.nodes.iter_mut().map(|node| &mut node.replica);
        let leader = replicas.find(|replica| replica.get_role() == Role::Leader);
        let proposed = leader.and_then(|leader| leader.propose(vec![1], now).ok());
        self.run_for(Duration::from_secs(1));
        let commit = self.leader().map(Replica::get_commit);
        proposed.is_some() && commit >= proposed
    }
}

fn sorted_names<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<String> {
    let mut names: Vec<_> = members.map(|member| member.host.to_string()).collect();
    names.sort();
    names
}

fn host_names(host_names: &[&str]) -> Vec<String> {
    host_names.iter().map(|name| (*name).to_owned()).collect()
}

fn three_voters() -> Cluster {
    let mut cluster = Cluster::with_founder();
    cluster.join("c1", 101);
    cluster.join("c2", 102);
    cluster.run_for(Duration::from_secs(4));
    assert_eq!(cluster.voters(), Some(host_names(&["c0", "c1", "c2"])));
    cluster
}

#[test]
fn grows_to_three() {
    three_voters();
}

#[test]
fn lost_disk() {
    let mut cluster = three_voters();
    cluster.stop("c2");
    cluster.run_for(Duration::from_secs(2));
    cluster.join("c2", 202);
    cluster.run_for(Duration::from_secs(4));
    assert_eq!(cluster.voters(), Some(host_names(&["c0", "c1", "c2"])));
}

#[test]
fn replaced_host() {
    let mut cluster = three_voters();
    cluster.stop("c2");
    cluster.run_for(Duration::from_secs(1));
    cluster.join("c3", 103);
    cluster.run_for(Duration::from_secs(4));
    assert_eq!(cluster.voters(), Some(host_names(&["c0", "c1", "c3"])));
}

/// A new host joins before the old one stops. Then the old one stops for good, another one loses its disk, and the remaining
/// two lose power. With four voters in the set, those two would be no majority.
#[test]
fn planned_replacement() {
    let mut cluster = three_voters();
    cluster.join("c3", 103);
    cluster.run_for(Duration::from_secs(2));
    assert_eq!(
        cluster.voters(),
        Some(host_names(&["c0", "c1", "c2"])),
        "a fourth voter would make the majority larger"
    );
    assert_eq!(
        cluster.members(),
        Some(host_names(&["c0", "c1", "c2", "c3"])),
        "the new host was not admitted"
    );
    cluster.stop("c2");
    cluster.run_for(Duration::from_secs(4));
    assert_eq!(
        cluster.voters(),
        Some(host_names(&["c0", "c1", "c3"])),
        "the new host did not take the place of the old one"
    );
    assert_eq!(
        cluster.members(),
        cluster.voters(),
        "the old host was not removed"
    );
    let saved: Vec<_> = ["c0", "c3"].map(|host| (host, cluster.stop(host))).into();
    cluster.stop("c1");
    for (host, disk) in saved {
        cluster.start(host, disk);
    }
    cluster.join("c1", 201);
    cluster.run_for(Duration::from_secs(8));
    assert_eq!(cluster.voters(), Some(host_names(&["c0", "c1", "c3"])));
}

/// The new host fails together with the one that it is to replace: the others must still be a majority.
#[test]
fn failed_replacement() {
    let mut cluster = three_voters();
    cluster.join("c3", 103);
    cluster.run_for(Duration::from_secs(2));
    cluster.stop("c2");
    cluster.stop("c3");
    cluster.run_for(Duration::from_secs(4));
    assert_eq!(cluster.voters().map(|voters| voters.len()), Some(3));
    assert!(cluster.acknowledges(), "two of three hosts are no majority");
}

/// A host that lost its disk fails again as soon as its replica has been heard: three replicas must vote on.
#[test]
fn lost_while_joining() {
    for delay in 1..40 {
        let mut cluster = three_voters();
        cluster.stop("c2");
        cluster.run_for(Duration::from_secs(2));
        cluster.join("c2", 202);
        cluster.run_for(Duration::from_millis(20 * delay));
        cluster.stop("c2");
        cluster.run_for(Duration::from_secs(1));
        assert_eq!(
            cluster.voters(),
            Some(host_names(&["c0", "c1", "c2"])),
            "after {delay} steps"
        );
        assert!(cluster.acknowledges(), "after {delay} steps");
    }
}

/// Two processes with different disks run at one address: the one that is a member stays, and they do not replace each
/// other in turn.
#[test]
fn two_disks_of_one_host() {
    let mut cluster = three_voters();
    let old_disk = cluster.stop("c2");
    cluster.run_for(Duration::from_secs(2));
    cluster.join("c2", 202);
    cluster.run_for(Duration::from_secs(2));
    cluster.start("c2", old_disk);
    let before = cluster.last_change();
    cluster.run_for(Duration::from_secs(6));
    assert_eq!(cluster.voters(), Some(host_names(&["c0", "c1", "c2"])));
    assert_eq!(cluster.last_change(), before, "the set has changed");
}

/// An unreachable replica stays a voter until another one replaces it, as the set has no surplus.
#[test]
fn unreachable_stays() {
    let mut cluster = three_voters();
    cluster.stop("c2");
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(cluster.voters(), Some(host_names(&["c0", "c1", "c2"])));
}
