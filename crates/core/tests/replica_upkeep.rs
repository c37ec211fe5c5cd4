//! The replica set where replicas are taken in as they ask: growth, lost disks, lost hosts.

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
use support::replicas::go_on;

/// How many replicas a deployment that bears one lost disk wants.
const WANTED: usize = 3;

/// Replicas, the leader's upkeep, and the time.
struct Set {
    nodes: Vec<Node>,
    upkeep: Maintainer,
    leader: Option<Host>,
    now: Instant,
}

impl Set {
    /// A founder; the others join it.
    fn found() -> Self {
        let host: Host = "c0".parse().expect("a name");
        let now = Instant::default();
        let founder = Node::new("c0", Replica::founding_state(&host, Disk(100)), 1, now);
        Self {
            nodes: vec![founder],
            upkeep: Maintainer::new(WANTED),
            leader: None,
            now,
        }
    }

    /// A replica with a blank disk starts on `host`.
    fn join(&mut self, host: &str, disk: u64) {
        self.start(host, Replica::blank_state(Disk(disk)));
    }

    fn start(&mut self, host: &str, disk: SavedState) {
        let seed = self.now.0 + self.nodes.len() as u64;
        self.nodes.push(Node::new(host, disk, seed, self.now));
    }

    /// A replica is gone; gives its disk.
    fn stop(&mut self, host: &str) -> SavedState {
        let place = self
            .nodes
            .iter()
            .position(|node| node.replica.get_host().as_str() == host);
        self.nodes.remove(place.expect("it runs")).disk
    }

    /// Time passes; whoever is no member asks to be taken in, and the leader tends the set.
    fn go_on(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            go_on(&mut self.nodes, &mut self.now, 1);
            self.tend();
        }
    }

    fn tend(&mut self) {
        let now = self.now;
        let leads = |node: &Node| {
            node.replica.has_committed_in_term() && node.replica.reaches_majority(now)
        };
        let Some(place) = self.nodes.iter().position(leads) else {
            return;
        };
        let asking = self.nodes.iter().map(|node| &node.replica);
        let asking: Vec<_> = asking
            .map(|replica| (replica.get_host().clone(), replica.get_disk()))
            .collect();
        let replica = &mut self.nodes[place].replica;
        if self.leader.as_ref() != Some(replica.get_host()) {
            self.leader = Some(replica.get_host().clone());
            self.upkeep = Maintainer::new(WANTED);
        }
        for (host, disk) in asking {
            // One change at a time: who is put off asks again.
            let _ = self.upkeep.admit(replica, &host, disk, now);
        }
        self.upkeep.maintain(replica, now);
    }

    /// The hosts that count, by the leader's word; none where nobody surely leads.
    fn voters(&self) -> Option<Vec<String>> {
        let leads = |node: &&Node| {
            node.replica.get_role() == Role::Leader && node.replica.reaches_majority(self.now)
        };
        let leader = self.nodes.iter().find(leads)?;
        let members = leader.replica.members();
        let mut voters: Vec<_> = members.voters().map(|one| one.host.to_string()).collect();
        voters.sort();
        Some(voters)
    }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn three() -> Set {
    let mut set = Set::found();
    set.join("c1", 101);
    set.join("c2", 102);
    set.go_on(Duration::from_secs(4));
    assert_eq!(set.voters(), Some(names(&["c0", "c1", "c2"])));
    set
}

#[test]
fn three_grow() {
    three();
}

#[test]
fn lost_disk() {
    let mut set = three();
    set.stop("c2");
    set.go_on(Duration::from_secs(2));
    set.join("c2", 202);
    set.go_on(Duration::from_secs(4));
    assert_eq!(set.voters(), Some(names(&["c0", "c1", "c2"])));
}

#[test]
fn replaced_host() {
    let mut set = three();
    set.stop("c2");
    set.go_on(Duration::from_secs(1));
    set.join("c3", 103);
    set.go_on(Duration::from_secs(4));
    assert_eq!(set.voters(), Some(names(&["c0", "c1", "c3"])));
}

/// The new host came before the old one went, so four counted; then the old one went for good, a
/// second one lost its disk, and the rest lost power.
#[test]
fn planned_replacement() {
    let mut set = three();
    set.join("c3", 103);
    set.go_on(Duration::from_secs(2));
    assert_eq!(set.voters(), Some(names(&["c0", "c1", "c2", "c3"])));
    set.stop("c2");
    set.go_on(Duration::from_secs(4));
    assert_eq!(
        set.voters(),
        Some(names(&["c0", "c1", "c3"])),
        "three are wanted"
    );
    let kept: Vec<_> = ["c0", "c3"].map(|host| (host, set.stop(host))).into();
    set.stop("c1");
    for (host, disk) in kept {
        set.start(host, disk);
    }
    set.join("c1", 201);
    set.go_on(Duration::from_secs(8));
    assert_eq!(set.voters(), Some(names(&["c0", "c1", "c3"])));
}

/// Two of three are never fewer than wanted: a silent one stays a member until another comes.
#[test]
fn silent_stays() {
    let mut set = three();
    set.stop("c2");
    set.go_on(Duration::from_secs(10));
    assert_eq!(set.voters(), Some(names(&["c0", "c1", "c2"])));
}
