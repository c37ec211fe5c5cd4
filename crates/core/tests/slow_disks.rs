//! Replicas whose disks take long to sync.

mod support;

use curlewlift_core::log::Role;

use support::replicas::Node;
use support::replicas::run_steps;
use support::replicas::three_voters;

/// Steps of 20 ms for which the disks stall: more than three election timeouts.
const STALL_STEPS: u32 = 100;

/// A leader stepped down and no other one was elected while its followers' disks were slow, as they answered heartbeats
/// only after the sync. Nothing is committed before it is synced.
#[test]
fn stalled_followers() {
    for first_stalled in [0, 1] {
        let (mut nodes, mut now) = three_voters();
        run_steps(&mut nodes, &mut now, 20);
        let term = nodes[0].replica.get_term();
        for node in &mut nodes[first_stalled..] {
            node.is_stalled = true;
        }
        let proposed = nodes[0].replica.propose(b"x".to_vec(), now);
        let proposed = proposed.expect("it leads");
        let is_committed = |node: &Node| node.replica.get_commit() >= proposed;
        for _ in 0..STALL_STEPS {
            run_steps(&mut nodes, &mut now, 1);
            assert_eq!(nodes[0].replica.get_role(), Role::Leader);
            assert!(nodes[0].replica.reaches_majority(now));
            assert!(!nodes.iter().any(is_committed), "nothing is synced");
        }
        for node in &mut nodes {
            node.is_stalled = false;
        }
        run_steps(&mut nodes, &mut now, 20);
        assert!(nodes.iter().all(is_committed));
        assert_eq!(nodes[0].replica.get_term(), term);
    }
}
