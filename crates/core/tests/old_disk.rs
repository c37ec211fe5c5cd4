//! A replica whose disk is an older copy of itself (row S3).

mod support;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Disk;
use curlewlift_core::id::Host;
use curlewlift_core::log::Message;
use curlewlift_core::log::Payload;
use curlewlift_core::log::Replica;

use support::replicas::Node;
use support::replicas::go_on;

/// A leader and two replicas that count, after some entries.
fn three() -> (Vec<Node>, Instant) {
    let mut now = Instant::default();
    let founder: Host = "c0".parse().expect("a name");
    let mut nodes = vec![Node::new(
        "c0",
        Replica::founding_state(&founder, Disk(1)),
        1,
        now,
    )];
    nodes.push(Node::new("c1", Replica::blank_state(Disk(2)), 2, now));
    nodes.push(Node::new("c2", Replica::blank_state(Disk(3)), 3, now));
    go_on(&mut nodes, &mut now, 100);
    for (place, disk) in [(1, 2), (2, 3)] {
        let host: Host = format!("c{place}").parse().expect("a name");
        nodes[0]
            .replica
            .admit(&host, Disk(disk), now)
            .expect("admitted");
        go_on(&mut nodes, &mut now, 20);
        nodes[0].replica.promote(&host, now).expect("whole");
        go_on(&mut nodes, &mut now, 20);
    }
    (nodes, now)
}

/// Ten entries that all acknowledge.
fn propose_ten(nodes: &mut [Node], now: &mut Instant) {
    for number in 0..10_u8 {
        let leader = &mut nodes[0].replica;
        leader.propose(vec![number], *now).expect("it leads");
        go_on(nodes, now, 2);
    }
}

#[test]
fn older_copy() {
    let (mut nodes, mut now) = three();
    let copy = nodes[2].disk.clone();
    propose_ten(&mut nodes, &mut now);
    nodes[2] = Node::new("c2", copy, 9, now);
    go_on(&mut nodes, &mut now, 50);
    let regressed: Vec<_> = nodes[0]
        .replica
        .regressed()
        .map(ToString::to_string)
        .collect();
    assert_eq!(regressed, ["c2"], "the leader sees what it lacks");
}

#[test]
fn late_rejection() {
    let (mut nodes, mut now) = three();
    propose_ten(&mut nodes, &mut now);
    let late = Message {
        from: "c2".parse().expect("a name"),
        disk: Disk(3),
        boot: nodes[2].disk.hard_state.boot,
        nonce: nodes[0]
            .disk
            .hard_state
            .seen_boots
            .iter()
            .find(|seen| seen.disk == Disk(3))
            .expect("seen")
            .nonce,
        to: "c0".parse().expect("a name"),
        to_disk: Disk(1),
        term: nodes[0].replica.get_term(),
        payload: Payload::AppendReply {
            matched: false,
            index: curlewlift_core::id::Index(1),
            round: 1,
        },
    };
    for _ in 0..3 {
        nodes[0].replica.receive(late.clone(), now);
        go_on(&mut nodes, &mut now, 5);
    }
    assert_eq!(
        nodes[0].replica.regressed().count(),
        0,
        "an answer that came late proves nothing"
    );
    nodes[0].replica.propose(vec![99], now).expect("it leads");
    go_on(&mut nodes, &mut now, 10);
    assert_eq!(nodes[2].replica.last_index(), nodes[0].replica.last_index());
}

#[test]
fn same_boot() {
    let (mut nodes, mut now) = three();
    let host: Host = "c2".parse().expect("a name");
    let copy = nodes[2].disk.clone();
    nodes[2] = Node::new("c2", copy.clone(), 9, now);
    go_on(&mut nodes, &mut now, 50);
    assert!(
        nodes[0].replica.is_reachable(&host, now),
        "the disk itself is heard"
    );
    nodes[2] = Node::new("c2", copy, 10, now);
    go_on(&mut nodes, &mut now, 100);
    assert!(
        !nodes[0].replica.is_reachable(&host, now),
        "a copy that was started as often is not"
    );
}
