//! Who waits for a turn and who is told at once that none will come.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Server;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Request;
use curlewlift_core::pool::Ticket;
use curlewlift_core::pool::Tuning;
use curlewlift_core::route::Rank;

const GOOD: AttemptOutcome = AttemptOutcome::Answered {
    first_byte: Duration::from_millis(5),
    gap: None,
};

fn ms(count: u64) -> Instant {
    Instant::default() + Duration::from_millis(count)
}

/// A pool with one server of one slot.
fn pool() -> Pool {
    let tuning = Tuning {
        extra_in_flight: 0,
        ..Tuning::default()
    };
    let mut pool = Pool::new(tuning, 7);
    pool.update_servers(vec![Arc::new(Server {
        incarnation: "s1".into(),
        name: "s1".into(),
        started_ms: 0,
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 1,
        leaving: false,
        cold: false,
    })]);
    pool
}

/// Asks at `now` for a turn within `wanted` milliseconds, and waits for `until`.
fn ask(pool: &mut Pool, rank: u8, now: u64, wanted: u64, until: u64) -> Ticket {
    let ask = Request {
        rank: rank.into(),
        arrived: ms(now),
        send_by: ms(now + wanted),
        wait_until: ms(now + until),
        ..Request::default()
    };
    pool.enqueue(ask, ms(now)).0
}

/// A turn every 20 ms for a second, all of them taken by rank 1; the server is taken at the end.
fn busy(pool: &mut Pool) -> u64 {
    for step in 0..=50 {
        pool.finish_attempt("s1", GOOD, ms(step * 20));
        ask(pool, 1, step * 20, 1_000, 1_000);
        assert_eq!(pool.assign(ms(step * 20)).len(), 1);
    }
    1_000
}

/// Waits of 20 ms each: the last in a long line cannot be served in time, and hears so at once.
#[test]
fn hopeless_told_at_once() {
    let mut pool = pool();
    let now = busy(&mut pool);
    let line: Vec<_> = (0..10).map(|_| ask(&mut pool, 0, now, 100, 100)).collect();
    let told = pool.remove_doomed(ms(now));
    assert!(!told.is_empty() && told.len() < 8, "{told:?}");
    let kept = line.len() - told.len();
    assert_eq!(told, line[kept..], "the last in line");
    assert_eq!(pool.queue_len(), kept);
    assert!(
        pool.remove_doomed(ms(now)).is_empty(),
        "the others may hope"
    );
}

/// What the higher ranks take is not there for the lower ones.
#[test]
fn higher_ranks_take_theirs() {
    let mut pool = pool();
    let now = busy(&mut pool);
    let low = ask(&mut pool, 2, now, 500, 500);
    let high = ask(&mut pool, 0, now, 500, 500);
    assert_eq!(pool.remove_doomed(ms(now)), [low]);
    pool.finish_attempt("s1", GOOD, ms(now));
    assert_eq!(pool.assign(ms(now))[0].ticket, high);
}

/// Who is late waits on behind those who are not, of the same rank, and before lower ranks.
#[test]
fn late_behind_their_rank() {
    let mut pool = pool();
    ask(&mut pool, 1, 0, 100, 100);
    assert_eq!(pool.assign(ms(0)).len(), 1);
    let late = ask(&mut pool, 1, 10, 50, 900);
    let low = ask(&mut pool, 2, 20, 500, 900);
    let fresh = ask(&mut pool, 1, 90, 500, 900);
    let mut order = Vec::new();
    for _ in 0..3 {
        pool.finish_attempt("s1", GOOD, ms(100));
        order.extend(pool.assign(ms(100)).into_iter().map(|turn| turn.ticket));
    }
    assert_eq!(order, [fresh, late, low]);
}

/// With too few turns to tell, nobody is told anything.
#[test]
fn nothing_known() {
    let mut pool = pool();
    pool.update_servers(Vec::new());
    for _ in 0..50 {
        ask(&mut pool, 1, 0, 10, 10);
    }
    assert!(pool.remove_doomed(ms(0)).is_empty());
}

/// Who has tried every server there is does not wait for another.
#[test]
fn tried_all() {
    let mut pool = pool();
    let again = |tried: &[&str]| Request {
        send_by: ms(500),
        wait_until: ms(500),
        tried: tried.iter().map(|name| (*name).into()).collect(),
        ..Request::default()
    };
    let told = pool.enqueue(again(&["s1"]), ms(0)).0;
    pool.enqueue(again(&["s0"]), ms(0));
    // Who avoids one for a while may have it later.
    let mut avoids = again(&["s0"]);
    avoids.avoid = vec![("s1".into(), ms(100))];
    pool.enqueue(avoids, ms(0));
    assert_eq!(pool.remove_doomed(ms(0)), [told]);
    assert_eq!(pool.assign(ms(99)).len(), 1, "the one that may go there");
    pool.finish_attempt("s1", GOOD, ms(100));
    assert_eq!(pool.assign(ms(100)).len(), 1);
}

/// Where a server with room is left alone for a while, the line is not too long.
#[test]
fn left_alone() {
    let mut pool = pool();
    let now = busy(&mut pool);
    pool.finish_attempt("s1", AttemptOutcome::Broken, ms(now));
    pool.observe("s1", AttemptOutcome::Broken, ms(now));
    pool.observe("s1", AttemptOutcome::Broken, ms(now));
    ask(&mut pool, 2, now, 500, 900);
    assert!(pool.assign(ms(now)).is_empty(), "it has just broken");
    assert!(pool.remove_doomed(ms(now)).is_empty());
}

/// A service that stood still for long tells nothing by what it did before.
#[test]
fn forecast_fades() {
    let mut pool = pool();
    let now = busy(&mut pool) + 5_000;
    for _ in 0..50 {
        ask(&mut pool, 1, now, 10, 10);
    }
    assert!(pool.remove_doomed(ms(now)).is_empty());
}

/// A customer's rank goes first; among customers of one rank their rules'.
#[test]
fn ranks_of_both() {
    let mut pool = pool();
    ask(&mut pool, 1, 0, 500, 500);
    assert_eq!(pool.assign(ms(0)).len(), 1);
    let mut ask = |customer, rule| {
        let ask = Request {
            rank: Rank { customer, rule },
            arrived: ms(1),
            send_by: ms(500),
            wait_until: ms(500),
            ..Request::default()
        };
        pool.enqueue(ask, ms(1)).0
    };
    let last = ask(2, 0);
    let second = ask(1, 2);
    let first = ask(1, 0);
    let mut order = Vec::new();
    for _ in 0..3 {
        pool.finish_attempt("s1", GOOD, ms(2));
        order.extend(pool.assign(ms(2)).into_iter().map(|turn| turn.ticket));
    }
    assert_eq!(order, [first, second, last]);
}
