//! A pool assigns queued requests to servers by free slots, latency, failures and backoffs, and in order of rank and
//! arrival. Servers that are draining or no longer listed get nothing.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Server;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Notice;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Request;
use curlewlift_core::pool::Ticket;
use curlewlift_core::pool::Tuning;
use curlewlift_core::unit::Tokens;

fn server(name: &str, leaving: bool) -> Arc<Server> {
    Arc::new(Server {
        incarnation: name.into(),
        name: name.into(),
        started_ms: 0,
        version: "v1".parse().expect("valid version"),
        service: "chat".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        hall: "a".into(),
        slots: 2,
        leaving,
        cold: false,
    })
}

/// A pool of servers with two slots each, whose queue has room for four requests.
fn pool(names: &[&str]) -> Pool {
    let tuning = Tuning {
        extra_in_flight: 0,
        max_queued: 4,
        ..Tuning::default()
    };
    let mut pool = Pool::new(tuning, 7);
    pool.update_servers(names.iter().map(|name| server(name, false)).collect());
    pool
}

fn enqueue(pool: &mut Pool, rank: u8, arrived: u64) -> Ticket {
    let request = Request {
        rank: rank.into(),
        arrived: Instant(arrived),
        ..Request::default()
    };
    pool.enqueue(request, Instant(arrived)).0
}

/// Assigns queued requests; returns each ticket with the incarnation that it is assigned to.
fn assign(pool: &mut Pool, now: Instant) -> Vec<(Ticket, String)> {
    let assignments = pool.assign(now).into_iter();
    let named = assignments
        .map(|assignment| (assignment.ticket, assignment.server.incarnation.to_string()));
    named.collect()
}

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered {
    first_byte: Duration::from_millis(50),
    gap: None,
};

#[test]
fn free_slots_only() {
    let mut pool = pool(&["s1", "s2"]);
    for arrived in 0..6 {
        pool.enqueue(
            Request {
                arrived: Instant(arrived),
                ..Request::default()
            },
            Instant(0),
        );
        if arrived < 4 {
            assert_eq!(assign(&mut pool, Instant(arrived)).len(), 1);
        }
    }
    assert!(
        assign(&mut pool, Instant(9)).is_empty(),
        "both servers are full"
    );
    pool.finish_attempt("s1", ANSWERED, Instant(9));
    assert_eq!(assign(&mut pool, Instant(9))[0].1, "s1");
}

#[test]
fn rank_then_arrival() {
    let mut pool = pool(&[]);
    let low = enqueue(&mut pool, 2, 1);
    let late = enqueue(&mut pool, 0, 9);
    let early = enqueue(&mut pool, 0, 3);
    pool.update_servers(vec![server("s1", false), server("s2", false)]);
    let order: Vec<_> = assign(&mut pool, Instant(10))
        .into_iter()
        .map(|(ticket, _)| ticket)
        .collect();
    assert_eq!(order, [early, late, low]);
}

#[test]
fn full_queue_rejects_last() {
    let mut pool = pool(&[]);
    let low = enqueue(&mut pool, 2, 1);
    for arrived in 0..3 {
        enqueue(&mut pool, 1, arrived);
    }
    let (_, rejected) = pool.enqueue(Request::default(), Instant(0));
    assert_eq!(rejected, Some(low));
}

#[test]
fn other_gateways_load() {
    let mut pool = pool(&["s1", "s2"]);
    let load = Load {
        incarnation: "s1".into(),
        requests: 2,
        prefill_tokens: Tokens(0),
    };
    pool.update_other_loads(&[load]);
    enqueue(&mut pool, 0, 1);
    assert_eq!(assign(&mut pool, Instant(1))[0].1, "s2");
}

#[test]
fn draining_gets_none() {
    let mut pool = pool(&["s1"]);
    enqueue(&mut pool, 0, 1);
    assert_eq!(assign(&mut pool, Instant(1)).len(), 1);
    pool.update_servers(vec![server("s1", true)]);
    enqueue(&mut pool, 0, 2);
    assert!(assign(&mut pool, Instant(2)).is_empty());
    assert!(!pool.accepts_work());
}

#[test]
fn unlisted_gets_none() {
    let mut pool = pool(&["s1"]);
    enqueue(&mut pool, 0, 1);
    assert_eq!(assign(&mut pool, Instant(1)).len(), 1);
    pool.update_servers(Vec::new());
    assert_eq!(
        pool.loads().count(),
        1,
        "requests in flight at an unlisted server still count"
    );
    enqueue(&mut pool, 0, 2);
    assert!(assign(&mut pool, Instant(2)).is_empty());
    pool.finish_attempt("s1", ANSWERED, Instant(3));
    assert_eq!(pool.loads().count(), 0);
}

#[test]
fn broken_server_avoided() {
    let mut pool = pool(&["s1", "s2"]);
    let second = Duration::from_secs(1);
    let start = Instant::default() + second;
    pool.observe("s1", AttemptOutcome::Broken, start);
    for arrived in 0..2 {
        enqueue(&mut pool, 0, arrived);
    }
    let assigned = assign(&mut pool, start);
    assert!(
        assigned.iter().all(|(_, name)| name == "s2"),
        "{assigned:?}"
    );
    enqueue(&mut pool, 0, 9);
    assert!(assign(&mut pool, start).is_empty());
    assert_eq!(
        assign(&mut pool, start + second)[0].1,
        "s1",
        "the broken server is probed again"
    );
}

/// A pool of servers that have answered with streams, and the time between their chunks in milliseconds.
fn pool_with_gaps(gaps: &[(&str, u64)], now: Instant) -> Pool {
    let names: Vec<_> = gaps.iter().map(|(name, _)| *name).collect();
    let mut pool = pool(&names);
    for (name, gap) in gaps {
        for _ in 0..20 {
            let gap = Some(Duration::from_millis(*gap));
            let first_byte = Duration::from_millis(50);
            pool.observe(name, AttemptOutcome::Answered { first_byte, gap }, now);
        }
    }
    pool
}

#[test]
fn faster_server_preferred() {
    let now = Instant::default();
    let mut pool = pool_with_gaps(&[("s1", 10), ("s2", 40)], now);
    let mut faster = 0;
    for arrived in 0..50 {
        enqueue(&mut pool, 0, arrived);
        let assigned = assign(&mut pool, now);
        faster += u32::from(assigned[0].1 == "s1");
        pool.finish_attempt(&assigned[0].1, AttemptOutcome::Unknown, now);
    }
    assert_eq!(faster, 50);
}

/// A request with a long prompt goes to the faster server, even if that is busier.
#[test]
fn long_prompt_to_faster() {
    let now = Instant::default();
    let mut pool = pool_with_gaps(&[("s1", 10), ("s2", 30)], now);
    let load = Load {
        incarnation: "s1".into(),
        requests: 1,
        prefill_tokens: Tokens(0),
    };
    for _ in 0..50 {
        pool.update_other_loads(std::slice::from_ref(&load));
        pool.enqueue(
            Request {
                prompt: Tokens(18_000),
                ..Request::default()
            },
            Instant(0),
        );
        let assigned = assign(&mut pool, now);
        assert_eq!(assigned[0].1, "s1");
        pool.finish_attempt("s1", AttemptOutcome::Unknown, now);
    }
}

#[test]
fn tried_servers_excluded() {
    let mut pool = pool(&["s1", "s2"]);
    pool.enqueue(
        Request {
            tried: vec!["s1".into()],
            ..Request::default()
        },
        Instant(0),
    );
    assert_eq!(assign(&mut pool, Instant(1))[0].1, "s2");
    pool.enqueue(
        Request {
            tried: vec!["s1".into(), "s2".into()],
            ..Request::default()
        },
        Instant(0),
    );
    assert!(assign(&mut pool, Instant(1)).is_empty());
    enqueue(&mut pool, 0, 9);
    assert_eq!(
        assign(&mut pool, Instant(1)).len(),
        1,
        "a request without a server left does not block others"
    );
}

/// If every server has broken, those that broke only once or twice are still used.
#[test]
fn all_servers_broken() {
    let mut pool = pool(&["s1", "s2"]);
    let record_break = |pool: &mut Pool, name: &str, now| {
        pool.observe(name, AttemptOutcome::Broken, Instant(now));
    };
    record_break(&mut pool, "s1", 0);
    record_break(&mut pool, "s2", 1);
    record_break(&mut pool, "s2", 2);
    assert_eq!(pool.avoided(&[], Instant(3)).count(), 0);
    enqueue(&mut pool, 0, 2);
    let assigned = assign(&mut pool, Instant(3));
    assert_eq!(assigned[0].1, "s1", "it has broken less often");
    record_break(&mut pool, "s2", 4);
    let avoided: Vec<_> = pool.avoided(&[], Instant(5)).collect();
    assert_eq!(avoided.len(), 1);
    assert_eq!(&*avoided[0].0, "s2", "it broke three times in a row");
}

/// A request that has tried all other servers goes to the remaining one, even if that is suspect.
#[test]
fn only_suspect_left() {
    let mut pool = pool(&["s1", "s2"]);
    pool.observe("s2", AttemptOutcome::Broken, Instant(0));
    enqueue(&mut pool, 0, 1);
    assert_eq!(
        assign(&mut pool, Instant(1))[0].1,
        "s1",
        "s1 is not suspect"
    );
    pool.enqueue(
        Request {
            tried: vec!["s1".into()],
            ..Request::default()
        },
        Instant(0),
    );
    assert_eq!(assign(&mut pool, Instant(2))[0].1, "s2");
}

/// A server that still reads long prompts is avoided until their answers have begun.
#[test]
fn unread_prompts_count() {
    let mut pool = pool(&["s1", "s2"]);
    let load = |incarnation: &str, unread| Load {
        incarnation: incarnation.into(),
        requests: 1,
        prefill_tokens: Tokens(unread),
    };
    let chosen = |pool: &mut Pool| {
        enqueue(pool, 0, 1);
        let assigned = assign(pool, Instant(1));
        pool.finish_attempt(&assigned[0].1, AttemptOutcome::Unknown, Instant(1));
        assigned[0].1.clone()
    };
    for _ in 0..20 {
        pool.update_other_loads(&[load("s1", 6_000), load("s2", 0)]);
        assert_eq!(chosen(&mut pool), "s2");
        pool.update_other_loads(&[load("s1", 0), load("s2", 6_000)]);
        assert_eq!(chosen(&mut pool), "s1");
    }
    let chosen: Vec<_> = (0..2)
        .map(|_| {
            pool.update_other_loads(&[]);
            pool.enqueue(
                Request {
                    prompt: Tokens(6_000),
                    ..Request::default()
                },
                Instant(0),
            );
            assign(&mut pool, Instant(2))[0].1.clone()
        })
        .collect();
    assert_ne!(chosen[0], chosen[1], "requests sent from here count too");
    pool.record_first_byte(&chosen[0], Tokens(6_000));
    let unread: Vec<_> = pool.loads().map(|load| load.prefill_tokens.0).collect();
    assert!(unread.contains(&0) && unread.contains(&6_000), "{unread:?}");
}

/// After a backoff a server gets requests one by one until it has answered one.
#[test]
fn one_by_one_after_backoff() {
    let mut pool = pool(&["s1"]);
    let (probe, next_probe) = (Instant(120_000), Instant(240_000));
    pool.observe(
        "s1",
        AttemptOutcome::Backoff(Duration::from_secs(3)),
        Instant(0),
    );
    for arrived in 0..4 {
        enqueue(&mut pool, 0, arrived);
    }
    assert_eq!(assign(&mut pool, probe).len(), 1);
    assert!(assign(&mut pool, probe).is_empty());
    pool.finish_attempt("s1", AttemptOutcome::Full, probe);
    assert_eq!(assign(&mut pool, next_probe).len(), 1);
    pool.finish_attempt("s1", ANSWERED, next_probe);
    assert_eq!(
        assign(&mut pool, next_probe).len(),
        2,
        "it is treated like any other server"
    );
}

/// A backoff that a server asked this host for applies to the whole queue, and neither an answer, a new list nor a slot
/// grant ends it.
#[test]
fn backoff_persists() {
    let mut pool = pool(&["s1", "s2"]);
    let backoff = Notice::Backoff(Duration::from_secs(3));
    pool.record_notice(&server("s1", false), backoff, Instant(0));
    pool.finish_attempt("s1", ANSWERED, Instant(0));
    pool.update_servers(vec![server("s1", false), server("s2", false)]);
    assert!(!pool.accept_grant(&server("s1", false), Tokens(0), Instant(1)));
    for arrived in 0..4 {
        enqueue(&mut pool, 0, arrived);
    }
    let assigned = assign(&mut pool, Instant(1));
    assert!(assigned.iter().all(|(_, server)| server == "s2"));
    assert_eq!(assigned.len(), 2);
    assert_eq!(assign(&mut pool, Instant(3_000_000)).len(), 2);
}

/// A request that could only wait for servers that back off for longer than it waits is removed at once, whatever its
/// rank; others stay queued.
#[test]
fn backoff_outlasts_wait() {
    let mut pool = pool(&["s1", "s2"]);
    for name in ["s1", "s2"] {
        let backoff = Notice::Backoff(Duration::from_secs(3));
        pool.record_notice(&server(name, false), backoff, Instant(0));
    }
    assert_eq!(
        pool.all_backing_off_for(Instant(0)),
        Some(Duration::from_secs(3))
    );
    let waiting_until = |until| Request {
        wait_until: Instant(until),
        ..Request::default()
    };
    let (doomed, _) = pool.enqueue(waiting_until(1_000_000), Instant(0));
    pool.enqueue(waiting_until(4_000_000), Instant(0));
    assert_eq!(pool.remove_doomed(Instant(0)), [doomed]);
    assert_eq!(assign(&mut pool, Instant(3_000_000)).len(), 1);
}

/// Among thousands of servers, of which a thousand have answered once each, the few that are known to be fast get most
/// requests.
#[test]
fn fastest_of_thousands() {
    let names: Vec<_> = (0..2_000).map(|index| format!("s{index:04}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut pool = pool(&names);
    for (index, name) in names.iter().enumerate().take(1_000) {
        let first_byte = Duration::from_millis(if index.is_multiple_of(50) { 20 } else { 60 });
        pool.observe(
            name,
            AttemptOutcome::Answered {
                first_byte,
                gap: None,
            },
            Instant(1),
        );
    }
    let mut fast = 0;
    for number in 0..40 {
        enqueue(&mut pool, 1, 2 + number);
        let assigned = assign(&mut pool, Instant(2 + number));
        let index: usize = assigned[0].1[1..].parse().expect("valid number");
        fast += usize::from(index < 1_000 && index.is_multiple_of(50));
    }
    assert!(
        fast >= 36,
        "only {fast} of 40 requests went to one of the 20 fast servers"
    );
}
