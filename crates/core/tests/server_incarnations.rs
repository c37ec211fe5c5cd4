//! Tests servers that restart under the same name: a late copy of the list must not bring back the
//! former incarnation or what was known of it.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Incarnations;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::incarnations::incarnation;

const SEEDS: u64 = 1_000;

fn start_times(server_list: &ServerList) -> Vec<u64> {
    server_list
        .servers
        .iter()
        .map(|server| server.started_ms)
        .collect()
}

#[test]
fn ignores_late_copies() {
    let mut incarnations = Incarnations::default();
    let copy = |started_ms| ServerList::new(vec![incarnation("s1", started_ms)]);
    assert_eq!(start_times(&incarnations.apply(copy(10))), [10]);
    assert_eq!(start_times(&incarnations.apply(copy(20))), [20]);
    assert_eq!(
        start_times(&incarnations.apply(copy(10))),
        [20],
        "a late copy is ignored"
    );
    assert_eq!(start_times(&incarnations.apply(copy(20))), [20]);
    // A server whose clock was set back has restarted all the same.
    assert_eq!(start_times(&incarnations.apply(copy(5))), [5]);
    assert_eq!(start_times(&incarnations.apply(copy(20))), [5]);
}

/// One or two late copies from before a server was leaving do not revert that, three in a row do.
#[test]
fn keeps_leaving_servers() {
    let mut incarnations = Incarnations::default();
    let copy = |leaving| {
        ServerList::new(vec![Server {
            leaving,
            ..incarnation("s1", 10)
        }])
    };
    let mut is_leaving = |leaving| incarnations.apply(copy(leaving)).servers[0].leaving;
    assert!(!is_leaving(false));
    assert!(is_leaving(true));
    assert!(
        is_leaving(false) && is_leaving(false),
        "two late copies are ignored"
    );
    assert!(is_leaving(true));
    assert!(is_leaving(false) && is_leaving(false));
    assert!(!is_leaving(false), "the third copy in a row is believed");
}

#[test]
fn picks_newest_entry() {
    let mut incarnations = Incarnations::default();
    let both = || ServerList::new(vec![incarnation("s1", 10), incarnation("s1", 20)]);
    assert_eq!(start_times(&incarnations.apply(both())), [20]);
    incarnations.apply(ServerList::new(vec![incarnation("s1", 5)]));
    assert_eq!(
        start_times(&incarnations.apply(both())),
        [10],
        "the incarnation 20 is a former one"
    );
}

/// Servers restart between any two copies of which up to two in a row are late. The list always has
/// the incarnation that started last.
#[test]
fn restarts_in_any_order() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut incarnations = Incarnations::default();
        let mut starts = vec![100];
        let mut late_copies = 0;
        incarnations.apply(ServerList::new(vec![incarnation("s1", 100)]));
        for _ in 0..60 {
            let newest = *starts.last().expect("at least one start");
            let is_late = late_copies < 2 && random.random_ratio(1, 3);
            late_copies = if is_late { late_copies + 1 } else { 0 };
            let started_ms = if is_late {
                starts[starts.len().saturating_sub(random.random_range(1..6))]
            } else if random.random_ratio(1, 4) {
                // The clock of a host may be set back, so start times have no order.
                random.random_range(1..1_000_000)
            } else {
                newest
            };
            let applied = incarnations.apply(ServerList::new(vec![incarnation("s1", started_ms)]));
            let expected = if is_late { newest } else { started_ms };
            assert_eq!(start_times(&applied), [expected], "seed {seed}");
            if !is_late && started_ms != newest {
                starts.push(started_ms);
            }
        }
    }
}

/// A new incarnation does not inherit what was known of the former one.
#[test]
fn resets_health_on_restart() {
    use std::sync::Arc;

    use curlewlift_core::pool::AttemptOutcome;
    use curlewlift_core::pool::Pool;
    use curlewlift_core::pool::Tuning;
    use curlewlift_core::unit::Tokens;
    let now = Instant::default() + Duration::from_secs(1);
    let mut pool = Pool::new(Tuning::default(), 1);
    let former = Arc::new(incarnation("s1", 10));
    let other = Arc::new(incarnation("s2", 10));
    pool.update_servers(vec![Arc::clone(&former), Arc::clone(&other)]);
    assert!(pool.accept_grant(&former, Tokens(100), now));
    pool.observe(&former.incarnation, AttemptOutcome::TimedOut, now);
    assert_eq!(pool.avoided(&[], now).count(), 1);
    pool.update_servers(vec![Arc::new(incarnation("s1", 20)), other]);
    let avoided = |pool: &Pool| {
        let mut avoided = pool.avoided(&[], now);
        avoided.any(|(incarnation, _)| *incarnation == *"s1/20")
    };
    assert!(!avoided(&pool), "a new incarnation is not avoided");
    assert_eq!(
        pool.loads().count(),
        1,
        "requests at the former incarnation still count"
    );
    pool.finish_attempt(&former.incarnation, AttemptOutcome::Broken, now);
    assert_eq!(
        pool.avoided(&[], now).count(),
        0,
        "a late report of the former incarnation"
    );
    assert_eq!(pool.loads().count(), 0);
}
