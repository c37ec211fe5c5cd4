//! Requests that cannot be served in time are removed from the queue at once, so that their callers need not wait in
//! vain; the others stay queued.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::gateway::Server;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Request;
use curlewlift_core::pool::Ticket;
use curlewlift_core::pool::Tuning;
use curlewlift_core::route::Rank;

use support::time::ms;

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered {
    first_byte: Duration::from_millis(5),
    gap: None,
};

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
        version: "v1".parse().expect("valid version"),
        service: "chat".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        hall: "a".into(),
        slots: 1,
        leaving: false,
        cold: false,
    })]);
    pool
}

/// Enqueues a request at `now` that should be sent within `send_within` and waits for `max_wait` milliseconds.
fn enqueue(pool: &mut Pool, rank: u8, now: u64, send_within: u64, max_wait: u64) -> Ticket {
    let request = Request {
        rank: rank.into(),
        arrived: ms(now),
        send_by: ms(now + send_within),
        wait_until: ms(now + max_wait),
        ..Request::default()
    };
    pool.enqueue(request, ms(now)).0
}

/// Assigns a request of rank 1 every 20 ms for a second, so that the forecast knows the rate. The server is full at the
/// end; returns the time of the end in milliseconds.
fn keep_busy(pool: &mut Pool) -> u64 {
    for step in 0..=50 {
        pool.finish_attempt("s1", ANSWERED, ms(step * 20));
        enqueue(pool, 1, step * 20, 1_000, 1_000);
        assert_eq!(pool.assign(ms(step * 20)).len(), 1);
    }
    1_000
}

/// With an assignment every 20 ms, the last requests of a long queue cannot be served in time and are removed at once.
#[test]
fn doomed_removed_at_once() {
    let mut pool = pool();
    let now = keep_busy(&mut pool);
    let queued: Vec<_> = (0..10)
        .map(|_| enqueue(&mut pool, 0, now, 100, 100))
        .collect();
    let doomed = pool.remove_doomed(ms(now));
    assert!(!doomed.is_empty() && doomed.len() < 8, "{doomed:?}");
    let remaining = queued.len() - doomed.len();
    assert_eq!(doomed, queued[remaining..], "the last in the queue");
    assert_eq!(pool.queue_len(), remaining);
    assert!(
        pool.remove_doomed(ms(now)).is_empty(),
        "the others can be served in time"
    );
}

/// The forecast for lower ranks leaves out the assignments that higher ranks will use.
#[test]
fn higher_ranks_first() {
    let mut pool = pool();
    let now = keep_busy(&mut pool);
    let low = enqueue(&mut pool, 2, now, 500, 500);
    let high = enqueue(&mut pool, 0, now, 500, 500);
    assert_eq!(pool.remove_doomed(ms(now)), [low]);
    pool.finish_attempt("s1", ANSWERED, ms(now));
    assert_eq!(pool.assign(ms(now))[0].ticket, high);
}

/// A request whose answer can no longer begin in time goes behind others of its rank, but before lower ranks.
#[test]
fn late_behind_same_rank() {
    let mut pool = pool();
    enqueue(&mut pool, 1, 0, 100, 100);
    assert_eq!(pool.assign(ms(0)).len(), 1);
    let late = enqueue(&mut pool, 1, 10, 50, 900);
    let low = enqueue(&mut pool, 2, 20, 500, 900);
    let on_time = enqueue(&mut pool, 1, 90, 500, 900);
    let mut order = Vec::new();
    for _ in 0..3 {
        pool.finish_attempt("s1", ANSWERED, ms(100));
        order.extend(
            pool.assign(ms(100))
                .into_iter()
                .map(|assignment| assignment.ticket),
        );
    }
    assert_eq!(order, [on_time, late, low]);
}

/// With too few assignments for a forecast, no request is removed.
#[test]
fn too_few_assignments() {
    let mut pool = pool();
    pool.update_servers(Vec::new());
    for _ in 0..50 {
        enqueue(&mut pool, 1, 0, 10, 10);
    }
    assert!(pool.remove_doomed(ms(0)).is_empty());
}

/// A request that has tried every server is removed. One that avoids a server for a time stays queued.
#[test]
fn all_servers_tried() {
    let mut pool = pool();
    let retried = |tried: &[&str]| Request {
        send_by: ms(500),
        wait_until: ms(500),
        tried: tried.iter().map(|name| (*name).into()).collect(),
        ..Request::default()
    };
    let doomed = pool.enqueue(retried(&["s1"]), ms(0)).0;
    pool.enqueue(retried(&["s0"]), ms(0));
    let mut avoiding = retried(&["s0"]);
    avoiding.avoid = vec![("s1".into(), ms(100))];
    pool.enqueue(avoiding, ms(0));
    assert_eq!(pool.remove_doomed(ms(0)), [doomed]);
    assert_eq!(
        pool.assign(ms(99)).len(),
        1,
        "the request that may go to s1 now"
    );
    pool.finish_attempt("s1", ANSWERED, ms(100));
    assert_eq!(pool.assign(ms(100)).len(), 1);
}

/// If a server has room but is avoided for a while after failures, no queued request is removed.
#[test]
fn avoided_server_is_room() {
    let mut pool = pool();
    let now = keep_busy(&mut pool);
    pool.finish_attempt("s1", AttemptOutcome::Broken, ms(now));
    pool.observe("s1", AttemptOutcome::Broken, ms(now));
    pool.observe("s1", AttemptOutcome::Broken, ms(now));
    enqueue(&mut pool, 2, now, 500, 900);
    assert!(
        pool.assign(ms(now)).is_empty(),
        "the server has just broken"
    );
    assert!(pool.remove_doomed(ms(now)).is_empty());
}

/// After a long time without assignments, the earlier rate is no longer used.
#[test]
fn forecast_decays() {
    let mut pool = pool();
    let now = keep_busy(&mut pool) + 5_000;
    for _ in 0..50 {
        enqueue(&mut pool, 1, now, 10, 10);
    }
    assert!(pool.remove_doomed(ms(now)).is_empty());
}

/// The customer's rank is compared first, and among customers of one rank the rule's.
#[test]
fn customer_rank_first() {
    let mut pool = pool();
    enqueue(&mut pool, 1, 0, 500, 500);
    assert_eq!(pool.assign(ms(0)).len(), 1);
    let mut enqueue = |customer, rule| {
        let request = Request {
            rank: Rank { customer, rule },
            arrived: ms(1),
            send_by: ms(500),
            wait_until: ms(500),
            ..Request::default()
        };
        pool.enqueue(request, ms(1)).0
    };
    let last = enqueue(2, 0);
    let second = enqueue(1, 2);
    let first = enqueue(1, 0);
    let mut order = Vec::new();
    for _ in 0..3 {
        pool.finish_attempt("s1", ANSWERED, ms(2));
        order.extend(
            pool.assign(ms(2))
                .into_iter()
                .map(|assignment| assignment.ticket),
        );
    }
    assert_eq!(order, [first, second, last]);
}
