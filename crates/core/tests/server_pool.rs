//! A gateway's choice among servers: room, pace, failures, leaving, order.

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
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 2,
        leaving,
        cold: false,
    })
}

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

fn ask(pool: &mut Pool, rank: u8, arrived: u64) -> Ticket {
    let ask = Request {
        rank: rank.into(),
        arrived: Instant(arrived),
        ..Request::default()
    };
    pool.enqueue(ask, Instant(arrived)).0
}

/// Who gets a turn, and where.
fn served(pool: &mut Pool, now: Instant) -> Vec<(Ticket, String)> {
    let turns = pool.assign(now).into_iter();
    let named = turns.map(|turn| (turn.ticket, turn.server.incarnation.to_string()));
    named.collect()
}

const GOOD: AttemptOutcome = AttemptOutcome::Answered {
    first_byte: Duration::from_millis(50),
    gap: None,
};

#[test]
fn room_only() {
    let mut pool = pool(&["s1", "s2"]);
    for place in 0..6 {
        pool.enqueue(
            Request {
                arrived: Instant(place),
                ..Request::default()
            },
            Instant(0),
        );
        if place < 4 {
            assert_eq!(served(&mut pool, Instant(place)).len(), 1);
        }
    }
    assert!(served(&mut pool, Instant(9)).is_empty(), "both are full");
    pool.finish_attempt("s1", GOOD, Instant(9));
    assert_eq!(served(&mut pool, Instant(9))[0].1, "s1");
}

#[test]
fn rank_then_arrival() {
    let mut pool = pool(&[]);
    let low = ask(&mut pool, 2, 1);
    let late = ask(&mut pool, 0, 9);
    let early = ask(&mut pool, 0, 3);
    pool.update_servers(vec![server("s1", false), server("s2", false)]);
    let order: Vec<_> = served(&mut pool, Instant(10))
        .into_iter()
        .map(|(ticket, _)| ticket)
        .collect();
    assert_eq!(order, [early, late, low]);
}

#[test]
fn last_turned_away() {
    let mut pool = pool(&[]);
    let low = ask(&mut pool, 2, 1);
    for place in 0..3 {
        ask(&mut pool, 1, place);
    }
    let (_, turned_away) = pool.enqueue(Request::default(), Instant(0));
    assert_eq!(turned_away, Some(low));
}

#[test]
fn others_count() {
    let mut pool = pool(&["s1", "s2"]);
    let load = Load {
        incarnation: "s1".into(),
        requests: 2,
        prefill_tokens: Tokens(0),
    };
    pool.update_other_loads(&[load]);
    ask(&mut pool, 0, 1);
    assert_eq!(served(&mut pool, Instant(1))[0].1, "s2");
}

#[test]
fn leaving_takes_none() {
    let mut pool = pool(&["s1"]);
    ask(&mut pool, 0, 1);
    assert_eq!(served(&mut pool, Instant(1)).len(), 1);
    pool.update_servers(vec![server("s1", true)]);
    ask(&mut pool, 0, 2);
    assert!(served(&mut pool, Instant(2)).is_empty());
    assert!(!pool.accepts_work());
}

#[test]
fn gone_takes_none() {
    let mut pool = pool(&["s1"]);
    ask(&mut pool, 0, 1);
    assert_eq!(served(&mut pool, Instant(1)).len(), 1);
    pool.update_servers(Vec::new());
    assert_eq!(pool.loads().count(), 1, "what it runs still counts");
    ask(&mut pool, 0, 2);
    assert!(served(&mut pool, Instant(2)).is_empty());
    pool.finish_attempt("s1", GOOD, Instant(3));
    assert_eq!(pool.loads().count(), 0);
}

#[test]
fn broken_is_left_alone() {
    let mut pool = pool(&["s1", "s2"]);
    let second = Duration::from_secs(1);
    let start = Instant::default() + second;
    pool.observe("s1", AttemptOutcome::Broken, start);
    for place in 0..2 {
        ask(&mut pool, 0, place);
    }
    let places = served(&mut pool, start);
    assert!(places.iter().all(|(_, name)| name == "s2"), "{places:?}");
    ask(&mut pool, 0, 9);
    assert!(served(&mut pool, start).is_empty());
    assert_eq!(
        served(&mut pool, start + second)[0].1,
        "s1",
        "it is tried again"
    );
}

/// Servers that have answered, with so many milliseconds between the pieces of their streams.
fn paced(gaps: &[(&str, u64)], now: Instant) -> Pool {
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
fn fast_one_gets_more() {
    let now = Instant::default();
    let mut pool = paced(&[("s1", 10), ("s2", 40)], now);
    let mut first = 0;
    for place in 0..50 {
        ask(&mut pool, 0, place);
        let turn = served(&mut pool, now);
        first += u32::from(turn[0].1 == "s1");
        pool.finish_attempt(&turn[0].1, AttemptOutcome::Unknown, now);
    }
    assert_eq!(first, 50);
}

/// A long prompt waits for none: it goes to the fast one even where that is busier.
#[test]
fn long_prompt_to_fast() {
    let now = Instant::default();
    let mut pool = paced(&[("s1", 10), ("s2", 30)], now);
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
        let turn = served(&mut pool, now);
        assert_eq!(turn[0].1, "s1");
        pool.finish_attempt("s1", AttemptOutcome::Unknown, now);
    }
}

#[test]
fn tried_goes_elsewhere() {
    let mut pool = pool(&["s1", "s2"]);
    pool.enqueue(
        Request {
            tried: vec!["s1".into()],
            ..Request::default()
        },
        Instant(0),
    );
    assert_eq!(served(&mut pool, Instant(1))[0].1, "s2");
    pool.enqueue(
        Request {
            tried: vec!["s1".into(), "s2".into()],
            ..Request::default()
        },
        Instant(0),
    );
    assert!(served(&mut pool, Instant(1)).is_empty());
    ask(&mut pool, 0, 9);
    assert_eq!(
        served(&mut pool, Instant(1)).len(),
        1,
        "it holds up nobody else"
    );
}

/// Where every server has broken, a break or two tell none from another.
#[test]
fn all_broke() {
    let mut pool = pool(&["s1", "s2"]);
    let broke = |pool: &mut Pool, name: &str, now| {
        pool.observe(name, AttemptOutcome::Broken, Instant(now));
    };
    broke(&mut pool, "s1", 0);
    broke(&mut pool, "s2", 1);
    broke(&mut pool, "s2", 2);
    assert_eq!(pool.avoided(&[], Instant(3)).count(), 0);
    ask(&mut pool, 0, 2);
    let again = served(&mut pool, Instant(3));
    assert_eq!(again[0].1, "s1", "it has broken less");
    broke(&mut pool, "s2", 4);
    let avoided: Vec<_> = pool.avoided(&[], Instant(5)).collect();
    assert_eq!(avoided.len(), 1);
    assert_eq!(&*avoided[0].0, "s2", "it breaks every time");
}

/// A request that has tried all others goes to the one that is left, suspect or not.
#[test]
fn last_one_left() {
    let mut pool = pool(&["s1", "s2"]);
    pool.observe("s2", AttemptOutcome::Broken, Instant(0));
    ask(&mut pool, 0, 1);
    assert_eq!(
        served(&mut pool, Instant(1))[0].1,
        "s1",
        "the other is free"
    );
    pool.enqueue(
        Request {
            tried: vec!["s1".into()],
            ..Request::default()
        },
        Instant(0),
    );
    assert_eq!(served(&mut pool, Instant(2))[0].1, "s2");
}

/// A server that still reads long prompts is passed over, until its answers have begun.
#[test]
fn reading_counts() {
    let mut pool = pool(&["s1", "s2"]);
    let load = |incarnation: &str, reading| Load {
        incarnation: incarnation.into(),
        requests: 1,
        prefill_tokens: Tokens(reading),
    };
    let first = |pool: &mut Pool| {
        ask(pool, 0, 1);
        let turn = served(pool, Instant(1));
        pool.finish_attempt(&turn[0].1, AttemptOutcome::Unknown, Instant(1));
        turn[0].1.clone()
    };
    for _ in 0..20 {
        pool.update_other_loads(&[load("s1", 6_000), load("s2", 0)]);
        assert_eq!(first(&mut pool), "s2");
        pool.update_other_loads(&[load("s1", 0), load("s2", 6_000)]);
        assert_eq!(first(&mut pool), "s1");
    }
    let own: Vec<_> = (0..2)
        .map(|_| {
            pool.update_other_loads(&[]);
            pool.enqueue(
                Request {
                    prompt: Tokens(6_000),
                    ..Request::default()
                },
                Instant(0),
            );
            served(&mut pool, Instant(2))[0].1.clone()
        })
        .collect();
    assert_ne!(own[0], own[1], "what is sent from here counts too");
    pool.record_first_byte(&own[0], Tokens(6_000));
    let reading: Vec<_> = pool.loads().map(|load| load.prefill_tokens.0).collect();
    assert!(
        reading.contains(&0) && reading.contains(&6_000),
        "{reading:?}"
    );
}

/// A server that asked for rest is given requests one by one until it has answered one.
#[test]
fn one_by_one() {
    let mut pool = pool(&["s1"]);
    let (over, later) = (Instant(120_000), Instant(240_000));
    pool.observe(
        "s1",
        AttemptOutcome::Backoff(Duration::from_secs(3)),
        Instant(0),
    );
    for arrived in 0..4 {
        ask(&mut pool, 0, arrived);
    }
    assert_eq!(served(&mut pool, over).len(), 1);
    assert!(served(&mut pool, over).is_empty());
    pool.finish_attempt("s1", AttemptOutcome::Full, over);
    assert_eq!(served(&mut pool, later).len(), 1);
    pool.finish_attempt("s1", GOOD, later);
    assert_eq!(served(&mut pool, later).len(), 2, "as any other");
}

/// What a host was asked for by a server holds in its line, and no other word ends it.
#[test]
fn rest_holds() {
    let mut pool = pool(&["s1", "s2"]);
    let rest = Notice::Backoff(Duration::from_secs(3));
    pool.record_notice(&server("s1", false), rest, Instant(0));
    pool.finish_attempt("s1", GOOD, Instant(0));
    pool.update_servers(vec![server("s1", false), server("s2", false)]);
    assert!(!pool.accept_grant(&server("s1", false), Tokens(0), Instant(1)));
    for arrived in 0..4 {
        ask(&mut pool, 0, arrived);
    }
    let turns = served(&mut pool, Instant(1));
    assert!(turns.iter().all(|(_, server)| server == "s2"));
    assert_eq!(turns.len(), 2);
    assert_eq!(served(&mut pool, Instant(3_000_000)).len(), 2);
}

/// Whoever can only wait for servers that rest for longer hears so at once, whatever its rank; the others wait.
#[test]
fn rests_for_longer() {
    let mut pool = pool(&["s1", "s2"]);
    for name in ["s1", "s2"] {
        let rest = Notice::Backoff(Duration::from_secs(3));
        pool.record_notice(&server(name, false), rest, Instant(0));
    }
    assert_eq!(
        pool.all_backing_off_for(Instant(0)),
        Some(Duration::from_secs(3))
    );
    let patient = |until| Request {
        wait_until: Instant(until),
        ..Request::default()
    };
    let (hopeless, _) = pool.enqueue(patient(1_000_000), Instant(0));
    pool.enqueue(patient(4_000_000), Instant(0));
    assert_eq!(pool.remove_doomed(Instant(0)), [hopeless]);
    assert_eq!(served(&mut pool, Instant(3_000_000)).len(), 1);
}

/// Of thousands of servers that were asked once each, those that are known to be fast get what there is.
#[test]
fn fast_among_many() {
    let names: Vec<_> = (0..2_000).map(|place| format!("s{place:04}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut pool = pool(&names);
    for (place, name) in names.iter().enumerate().take(1_000) {
        let first_byte = Duration::from_millis(if place.is_multiple_of(50) { 20 } else { 60 });
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
        ask(&mut pool, 1, 2 + number);
        let turns = served(&mut pool, Instant(2 + number));
        let place: usize = turns[0].1[1..].parse().expect("a number");
        fast += usize::from(place < 1_000 && place.is_multiple_of(50));
    }
    assert!(fast >= 36, "{fast} of 40 went to one of the 20 fast ones");
}
