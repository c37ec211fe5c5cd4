//! Maintenance of the replica set if replicas are admitted on request: growth, lost disks and
//! replaced hosts.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Disk;
use curlewlift_core::id::Host;
use curlewlift_core::log::Maintainer;
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

    /// The hosts of the voters as the leader knows them; `None` if no replica is certain to lead.
    fn voters(&self) -> Option<Vec<String>> {
        let is_leader = |node: &&Node| {
            node.replica.get_role() == Role::Leader && node.replica.reaches_majority(self.now)
        };
        let leader = self.nodes.iter().find(is_leader)?;
        let members = leader.replica.members();
        let mut voters: Vec<_> = members
            .voters()
            .map(|member| member.host.to_string())
            .collect();
        voters.sort();
        Some(voters)
    }
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

/// A new host joins before the old one stops, so there are four voters. Then the old one stops for
/// good, another one loses its disk, and the remaining two lose power. With four voters left in the
/// set, those two would be no majority.
#[test]
fn planned_replacement() {
    let mut cluster = three_voters();
    cluster.join("c3", 103);
    cluster.run_for(Duration::from_secs(2));
    assert_eq!(
        cluster.voters(),
        Some(host_names(&["c0", "c1", "c2", "c3"]))
    );
    cluster.stop("c2");
    cluster.run_for(Duration::from_secs(4));
    assert_eq!(
        cluster.voters(),
        Some(host_names(&["c0", "c1", "c3"])),
        "the fourth voter was not removed"
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

/// An unreachable replica stays a voter until another one replaces it, as the set has no surplus.
#[test]
fn unreachable_stays() {
    let mut cluster = three_voters();
    cluster.stop("c2");
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(cluster.voters(), Some(host_names(&["c0", "c1", "c2"])));
}
