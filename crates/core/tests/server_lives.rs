//! Servers that start again under the name that they had: nothing of the former start comes back.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Incarnations;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::lives::life;

const SEEDS: u64 = 1_000;

fn births(listing: &ServerList) -> Vec<u64> {
    listing
        .servers
        .iter()
        .map(|server| server.started_ms)
        .collect()
}

#[test]
fn late_copies() {
    let mut lives = Incarnations::default();
    let copy = |born| ServerList::new(vec![life("s1", born)]);
    assert_eq!(births(&lives.apply(copy(10))), [10]);
    assert_eq!(births(&lives.apply(copy(20))), [20]);
    assert_eq!(births(&lives.apply(copy(10))), [20], "a late copy");
    assert_eq!(births(&lives.apply(copy(20))), [20]);
    // A server whose clock went back still has begun anew.
    assert_eq!(births(&lives.apply(copy(5))), [5]);
    assert_eq!(births(&lives.apply(copy(20))), [5]);
}

/// A late copy from before a server was to leave does not take it back; three in a row do.
#[test]
fn late_leaving() {
    let mut lives = Incarnations::default();
    let copy = |leaving| {
        ServerList::new(vec![Server {
            leaving,
            ..life("s1", 10)
        }])
    };
    let mut leaves = |leaving| lives.apply(copy(leaving)).servers[0].leaving;
    assert!(!leaves(false));
    assert!(leaves(true));
    assert!(leaves(false) && leaves(false), "two late copies");
    assert!(leaves(true));
    assert!(leaves(false) && leaves(false));
    assert!(!leaves(false), "it stays after all");
}

#[test]
fn two_entries() {
    let mut lives = Incarnations::default();
    let both = || ServerList::new(vec![life("s1", 10), life("s1", 20)]);
    assert_eq!(births(&lives.apply(both())), [20]);
    lives.apply(ServerList::new(vec![life("s1", 5)]));
    assert_eq!(births(&lives.apply(both())), [10], "20 has ended");
}

/// Restarts between any two copies, of which two in a row may be late ones: what is given is the life that was
/// begun last.
#[test]
fn any_order() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut lives = Incarnations::default();
        let mut told = vec![100];
        let mut late = 0;
        lives.apply(ServerList::new(vec![life("s1", 100)]));
        for _ in 0..60 {
            let newest = *told.last().expect("one");
            let is_late = late < 2 && random.random_ratio(1, 3);
            late = if is_late { late + 1 } else { 0 };
            let born = if is_late {
                told[told.len().saturating_sub(random.random_range(1..6))]
            } else if random.random_ratio(1, 4) {
                // The clock of a host may go back: births have no order.
                random.random_range(1..1_000_000)
            } else {
                newest
            };
            let given = lives.apply(ServerList::new(vec![life("s1", born)]));
            let present = if is_late { newest } else { born };
            assert_eq!(births(&given), [present], "seed {seed}");
            if !is_late && born != newest {
                told.push(born);
            }
        }
    }
}

/// What was believed of the former start is not believed of the next.
#[test]
fn nothing_believed() {
    use std::sync::Arc;

    use curlewlift_core::pool::AttemptOutcome;
    use curlewlift_core::pool::Pool;
    use curlewlift_core::pool::Tuning;
    use curlewlift_core::unit::Tokens;
    let now = Instant::default() + Duration::from_secs(1);
    let mut pool = Pool::new(Tuning::default(), 1);
    let former = Arc::new(life("s1", 10));
    let other = Arc::new(life("s2", 10));
    pool.update_servers(vec![Arc::clone(&former), Arc::clone(&other)]);
    assert!(pool.accept_grant(&former, Tokens(100), now));
    pool.observe(&former.incarnation, AttemptOutcome::TimedOut, now);
    assert_eq!(pool.avoided(&[], now).count(), 1);
    pool.update_servers(vec![Arc::new(life("s1", 20)), other]);
    let avoided = |pool: &Pool| {
        let mut avoided = pool.avoided(&[], now);
        avoided.any(|(incarnation, _)| *incarnation == *"s1/20")
    };
    assert!(!avoided(&pool), "trusted as any new one");
    assert_eq!(pool.loads().count(), 1, "what runs at the former one");
    pool.finish_attempt(&former.incarnation, AttemptOutcome::Broken, now);
    assert_eq!(
        pool.avoided(&[], now).count(),
        0,
        "a late word of the former"
    );
    assert_eq!(pool.loads().count(), 0);
}
