//! A leader that has been replaced without knowing must not answer as the newest.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Disk;
use curlewlift_core::id::Host;
use curlewlift_core::log::Replica;
use curlewlift_core::log::Role;

use support::replicas::Node;
use support::replicas::go_on;

/// Three that count; the first one leads.
fn three() -> (Vec<Node>, Instant) {
    let mut now = Instant::default();
    let founder: Host = "c0".parse().expect("a name");
    let mut nodes = vec![Node::new(
        "c0",
        Replica::founding_state(&founder, Disk(1)),
        1,
        now,
    )];
    for place in 1..3_u64 {
        let host: Host = format!("c{place}").parse().expect("a name");
        let disk = Disk(place + 1);
        nodes.push(Node::new(
            host.as_str(),
            Replica::blank_state(disk),
            place + 1,
            now,
        ));
        go_on(&mut nodes, &mut now, 60);
        nodes[0].replica.admit(&host, disk, now).expect("admitted");
        go_on(&mut nodes, &mut now, 20);
        nodes[0].replica.promote(&host, now).expect("whole");
        go_on(&mut nodes, &mut now, 20);
    }
    (nodes, now)
}

#[test]
fn confirmed_by_round() {
    let (mut nodes, mut now) = three();
    let asked = now + Duration::from_millis(1);
    assert!(!nodes[0].replica.is_confirmed_since(asked));
    go_on(&mut nodes, &mut now, 20);
    assert!(nodes[0].replica.is_confirmed_since(asked));
}

/// The leader hears one replica only. That one starts anew, has forgotten that it heard the leader,
/// and elects the third, while the leader still counts on it.
#[test]
fn replaced_unheard() {
    let (mut nodes, mut now) = three();
    let mut third = vec![nodes.remove(2)];
    go_on(&mut third, &mut now, 1);
    let mut old = vec![nodes.remove(0)];
    // The leader and the second go on without the third, which hears nobody.
    let mut pair = vec![old.remove(0), nodes.remove(0)];
    go_on(&mut pair, &mut now, 100);
    let mut leader = pair.remove(0);
    let second = pair.remove(0);
    let restarted = Node::new("c1", second.disk, 77, now);
    let mut others = vec![restarted, third.remove(0)];
    let cut = now;
    let mut replaced = None;
    while replaced.is_none() && now.since(cut) < Duration::from_secs(5) {
        go_on(&mut others, &mut now, 1);
        leader.replica.tick(now);
        let _ = leader.settle(now);
        replaced = others
            .iter()
            .position(|node| node.replica.get_role() == Role::Leader);
    }
    assert!(replaced.is_some(), "another leads");
    let asked = now;
    assert!(!leader.replica.is_confirmed_since(asked));
    for _ in 0..100 {
        go_on(&mut others, &mut now, 1);
        leader.replica.tick(now);
        let _ = leader.settle(now);
        assert!(!leader.replica.is_confirmed_since(asked));
    }
}
