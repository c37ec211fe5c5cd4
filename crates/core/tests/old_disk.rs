//! A replica whose disk is replaced by an older copy of itself has lost entries that it had
//! acknowledged. The leader must detect that, but must not mistake a late response for it.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Disk;
use curlewlift_core::id::Host;
use curlewlift_core::log::Message;
use curlewlift_core::log::Payload;
use curlewlift_core::log::Role;

use support::replicas::Node;
use support::replicas::run_steps;
use support::replicas::three_voters;

/// Appends ten entries that all replicas acknowledge.
fn propose_ten_entries(nodes: &mut [Node], now: &mut Instant) {
    for number in 0..10_u8 {
        let leader = &mut nodes[0].replica;
        leader.propose(vec![number], *now).expect("it leads");
        run_steps(nodes, now, 2);
    }
}

#[test]
fn older_copy() {
    let (mut nodes, mut now) = three_voters();
    let copy = nodes[2].disk.clone();
    propose_ten_entries(&mut nodes, &mut now);
    nodes[2] = Node::new("c2", copy, 9, now);
    run_steps(&mut nodes, &mut now, 50);
    let regressed: Vec<_> = nodes[0]
        .replica
        .regressed()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        regressed,
        ["c2"],
        "the leader did not detect the lost entries"
    );
}

#[test]
fn late_rejection() {
    let (mut nodes, mut now) = three_voters();
    propose_ten_entries(&mut nodes, &mut now);
    let late_reply = Message {
        from: "c2".parse().expect("valid name"),
        disk: Disk(3),
        boot: nodes[2].disk.hard_state.boot,
        nonce: nodes[0]
            .disk
            .hard_state
            .seen_boots
            .iter()
            .find(|seen| seen.disk == Disk(3))
            .expect("a known boot")
            .nonce,
        to: "c0".parse().expect("valid name"),
        to_disk: Disk(1),
        term: nodes[0].replica.get_term(),
        payload: Payload::AppendReply {
            matched: false,
            index: curlewlift_core::id::Index(1),
            round: 1,
        },
    };
    for _ in 0..3 {
        nodes[0].replica.receive(late_reply.clone(), now);
        run_steps(&mut nodes, &mut now, 5);
    }
    assert_eq!(
        nodes[0].replica.regressed().count(),
        0,
        "a late response was taken for lost entries"
    );
    nodes[0].replica.propose(vec![99], now).expect("it leads");
    run_steps(&mut nodes, &mut now, 10);
    assert_eq!(nodes[2].replica.last_index(), nodes[0].replica.last_index());
}

#[test]
fn same_boot() {
    let (mut nodes, mut now) = three_voters();
    let host: Host = "c2".parse().expect("valid name");
    let copy = nodes[2].disk.clone();
    nodes[2] = Node::new("c2", copy.clone(), 9, now);
    run_steps(&mut nodes, &mut now, 50);
    assert!(
        nodes[0].replica.is_reachable(&host, now),
        "the restarted replica is not reachable"
    );
    nodes[2] = Node::new("c2", copy, 10, now);
    run_steps(&mut nodes, &mut now, 100);
    assert!(
        !nodes[0].replica.is_reachable(&host, now),
        "a copy of the disk with the same boot number was accepted"
    );
}

/// A replica that is killed before its first write is on disk uses its boot number again. Its peers must not have seen that
/// number, or they take the next start for a copy of the disk and refuse all its messages.
#[test]
fn killed_before_first_sync() {
    let (mut nodes, mut now) = three_voters();
    let host: Host = "c2".parse().expect("valid name");
    let disk = nodes[2].disk.clone();
    let mut killed = Node::new("c2", disk.clone(), 9, now);
    for _ in 0..50 {
        now = now + Duration::from_millis(20);
        killed.replica.tick(now);
        for message in killed.replica.take_output().sends {
            for node in &mut nodes[..2] {
                node.replica.receive(message.clone(), now);
            }
        }
    }
    nodes[2] = Node::new("c2", disk, 10, now);
    run_steps(&mut nodes, &mut now, 100);
    let mut leaders = nodes.iter().map(|node| &node.replica);
    let leader = leaders.find(|replica| replica.get_role() == Role::Leader);
    let leader = leader.expect("a leader");
    let is_reachable = leader.get_host() == &host || leader.is_reachable(&host, now);
    assert!(is_reachable, "the next start of the replica is refused");
}
