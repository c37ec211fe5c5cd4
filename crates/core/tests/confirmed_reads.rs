//! A leader that has been replaced without noticing must not confirm that it still leads, since a
//! read from it would be stale.

mod support;

use std::time::Duration;

use curlewlift_core::log::Role;

use support::replicas::Node;
use support::replicas::run_steps;
use support::replicas::three_voters;

#[test]
fn confirmed_by_round() {
    let (mut nodes, mut now) = three_voters();
    let read_time = now + Duration::from_millis(1);
    assert!(!nodes[0].replica.is_confirmed_since(read_time));
    run_steps(&mut nodes, &mut now, 20);
    assert!(nodes[0].replica.is_confirmed_since(read_time));
}

/// The leader reaches only one replica. That replica restarts, so it no longer knows that it had a
/// leader, and elects the third one, while the former leader still relies on its responses.
#[test]
fn replaced_unnoticed() {
    let (mut nodes, mut now) = three_voters();
    let mut third = vec![nodes.remove(2)];
    run_steps(&mut third, &mut now, 1);
    let mut former = vec![nodes.remove(0)];
    // The leader and the second replica continue without the third one, which is isolated.
    let mut pair = vec![former.remove(0), nodes.remove(0)];
    run_steps(&mut pair, &mut now, 100);
    let mut leader = pair.remove(0);
    let second = pair.remove(0);
    let restarted = Node::new("c1", second.disk, 77, now);
    let mut others = vec![restarted, third.remove(0)];
    let partition_start = now;
    let mut new_leader = None;
    while new_leader.is_none() && now.since(partition_start) < Duration::from_secs(5) {
        run_steps(&mut others, &mut now, 1);
        leader.replica.tick(now);
        let _ = leader.drain_output(now);
        new_leader = others
            .iter()
            .position(|node| node.replica.get_role() == Role::Leader);
    }
    assert!(new_leader.is_some(), "no other replica was elected");
    let read_time = now;
    assert!(!leader.replica.is_confirmed_since(read_time));
    for _ in 0..100 {
        run_steps(&mut others, &mut now, 1);
        leader.replica.tick(now);
        let _ = leader.drain_output(now);
        assert!(!leader.replica.is_confirmed_since(read_time));
    }
}
