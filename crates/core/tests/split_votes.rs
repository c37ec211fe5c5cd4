//! Two replicas that become candidates at the same time split the vote. The next election must not wait for a whole election
//! timeout again: requests are refused while no replica leads.

mod support;

use std::time::Duration;

use curlewlift_core::id::Disk;
use curlewlift_core::log::Message;
use curlewlift_core::log::Role;

use support::network::Network;
use support::replicas::Node;
use support::replicas::three_voters;

/// Number of elections.
const ELECTIONS: u64 = 1_000;

/// How long a message takes: two elections that begin within this time split the vote.
const LATENCY: Duration = Duration::from_millis(30);

/// How long an election may take: the longest wait for a leader that is lost, and half of one for split votes.
const MAX_ELECTION_TIME: Duration = Duration::from_millis(1_200 + 600);

/// The time until one of two replicas leads after the third one, the leader, has stopped.
fn election_time(seed: u64) -> Duration {
    let (mut nodes, mut now) = three_voters();
    let disks: Vec<_> = nodes.drain(..).map(|node| node.disk).collect();
    let mut nodes: Vec<_> = disks
        .into_iter()
        .filter(|disk| disk.hard_state.disk != Disk(1))
        .zip([("c1", 1_000_000), ("c2", 2_000_000)])
        .map(|(disk, (host, base))| Node::new(host, disk, base + seed, now))
        .collect();
    let mut network: Network<Message> = Network::new();
    let started_at = now;
    loop {
        now = now + Duration::from_millis(1);
        while let Some(message) = network.receive(now.0) {
            for node in &mut nodes {
                node.replica.receive(message.clone(), now);
            }
        }
        for node in &mut nodes {
            node.replica.tick(now);
            for message in node.drain_output(now) {
                network.send((now + LATENCY).0, message);
            }
            if node.replica.get_role() == Role::Leader {
                return now.since(started_at);
            }
        }
    }
}

#[test]
fn short_retry() {
    let times: Vec<_> = (0..ELECTIONS).map(election_time).collect();
    let longest = times.iter().max().expect("elections");
    assert!(*longest <= MAX_ELECTION_TIME, "{longest:?}");
}
