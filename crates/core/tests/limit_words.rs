//! Which of two words about a limit counts, who is told of it, and what is remembered.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Server;
use curlewlift_core::id;
use curlewlift_core::limit::Announcement;
use curlewlift_core::limit::Key;
use curlewlift_core::limit::Limit;
use curlewlift_core::limit::LocalReports;
use curlewlift_core::limit::Rate;
use curlewlift_core::limit::RateLimiter;
use curlewlift_core::limit::Report;
use curlewlift_core::limit::Reports;
use curlewlift_core::limit::Table;

use support::lives::life;

const HUB: u64 = 77;

fn at(millis: u64) -> Instant {
    Instant::default() + Duration::from_millis(millis)
}

fn rate(text: &str) -> Rate {
    text.parse().expect("a rate")
}

fn named(text: &str) -> Announcement {
    Announcement::Limited(rate(text))
}

fn mark(number: u64) -> GrantId {
    GrantId { hub: HUB, number }
}

fn host() -> id::Host {
    "g".parse().expect("a name")
}

/// A hub's table, and what gateways have told it.
struct Hub {
    table: Table,
    number: u64,
}

impl Hub {
    fn new() -> Self {
        let table = Table::new(HUB);
        Self { table, number: 0 }
    }

    /// An answer to what the grant `by` sent names this limit; the hub's last grant is `last`.
    fn hear(&mut self, name: &str, limit: Option<&str>, by: u64, last: u64) {
        self.number += 1;
        let server = life(name, 1);
        let word = Report {
            number: self.number,
            key: Key::from_server(&server),
            rate: limit.map(rate),
            grant_id: mark(by),
        };
        self.tell(vec![word], last);
    }

    fn tell(&mut self, words: Vec<Report>, last: u64) {
        let words = Reports {
            incarnation: 1,
            reports: words,
        };
        self.table.record(&host(), &words, last, at(0));
    }

    fn limit(&self, name: &str) -> Option<String> {
        let service = "chat".parse().expect("a name");
        let mut limits = self.table.service_limits(&service);
        let limit = limits.find(|(key, ..)| *key.name == *name);
        limit.map(|(_, limit, _)| limit.rate.to_string())
    }
}

/// Only an answer to what was granted after the limit had been heard lifts it, or raises it.
#[test]
fn newer_counts() {
    let mut hub = Hub::new();
    hub.hear("s", Some("3"), 5, 10);
    hub.hear("s", None, 10, 11);
    assert_eq!(hub.limit("s").as_deref(), Some("3"), "it may be older");
    hub.hear("s", Some("8"), 9, 11);
    assert_eq!(hub.limit("s").as_deref(), Some("3"), "the least of both");
    hub.hear("s", Some("2"), 9, 12);
    assert_eq!(hub.limit("s").as_deref(), Some("2"), "the least of both");
    hub.hear("s", Some("8"), 13, 14);
    assert_eq!(hub.limit("s").as_deref(), Some("8"), "it is newer");
    hub.hear("s", None, 14, 15);
    assert!(hub.limit("s").is_some(), "named again since");
    hub.hear("s", None, 15, 16);
    assert_eq!(hub.limit("s"), None);
}

/// By the marks of another hub nothing is newer, and what was sent without one neither.
#[test]
fn other_hubs_grants() {
    let mut hub = Hub::new();
    hub.hear("s", Some("3"), 5, 10);
    let server = life("s", 1);
    for (number, mark) in [(2, GrantId { hub: 1, number: 99 }), (3, GrantId::default())] {
        let word = Report {
            number,
            key: Key::from_server(&server),
            rate: None,
            grant_id: mark,
        };
        hub.tell(vec![word], 100);
    }
    assert!(hub.limit("s").is_some());
}

/// What is told again until it is acknowledged does not undo what was heard in between.
#[test]
fn told_again() {
    let mut hub = Hub::new();
    let mut local = LocalReports::new(1);
    local.record_response(&life("s", 1), &named("3"), mark(1), at(0), at(1));
    let words = local.pending_reports();
    hub.tell(words.reports.clone(), 1);
    assert!(hub.limit("s").is_some());
    hub.number = 1;
    hub.hear("s", None, 2, 2);
    hub.tell(words.reports, 3);
    assert_eq!(hub.limit("s"), None);
}

/// A gateway is held to what it has heard until the hub has lifted it, through a change of the hub.
#[test]
fn kept_until_lifted() {
    let server = life("s", 1);
    let (mut local, mut first) = (LocalReports::new(1), Table::new(1));
    local.record_response(&server, &named("3"), GrantId::default(), at(0), at(1));
    assert!(local.blocks(&server, mark(1)));
    // Neither its own answers lift it, whatever their order, nor that the hub knows of it.
    local.record_response(
        &server,
        &Announcement::NoLimit,
        GrantId::default(),
        at(0),
        at(2),
    );
    assert!(local.blocks(&server, mark(1)));
    let upto = local.get_last_number();
    first.record(&host(), &local.pending_reports(), 9, at(3));
    let _ = local.apply_reply(1, upto, None, at(4));
    assert!(local.pending_reports().reports.is_empty());
    assert!(local.blocks(&server, GrantId { hub: 1, number: 9 }));
    first.publish(at(5));
    let news = first.update_since(local.get_table_version());
    let _ = local.apply_reply(1, upto, news.as_ref(), at(6));
    assert!(local.blocks(&server, GrantId { hub: 1, number: 9 }));
    let later = GrantId { hub: 1, number: 10 };
    assert!(!local.blocks(&server, later), "given once it was known");
    // The next hub is told.
    let news = Table::new(2).update_since(local.get_table_version());
    let _ = local.apply_reply(2, upto, news.as_ref(), at(7));
    assert!(local.blocks(&server, later));
    assert_eq!(local.pending_reports().reports.len(), 1);
}

/// Gateways are told changes, and those that are behind too far the whole; not more often than four times a second,
/// and not of a rate that is nearly the same.
#[test]
fn told_changes() {
    let mut hub = Hub::new();
    hub.hear("s", Some("3"), 1, 1);
    assert!(hub.table.publish(at(0)));
    hub.hear("t", Some("3"), 2, 2);
    assert!(!hub.table.publish(at(249)));
    assert!(hub.table.publish(at(250)));
    let news = hub.table.update_since((HUB, 1)).expect("it is behind");
    assert_eq!((news.base_version, news.changes.len()), (Some(1), 1));
    let whole = hub.table.update_since((1, 1)).expect("of another hub");
    assert_eq!((whole.base_version, whole.changes.len()), (None, 2));
    hub.hear("t", Some("3.1"), 3, 3);
    assert!(!hub.table.publish(at(900)));
    assert_eq!(hub.table.update_since((HUB, 2)), None);
    hub.hear("t", Some("4"), 4, 4);
    assert!(hub.table.publish(at(900)));
}

/// What is remembered is bounded, and who is forgotten is told of; an odd limit is said once, and limits nothing.
#[test]
fn bounded() {
    let mut hub = Hub::new();
    for number in 0..5_000 {
        hub.hear(&format!("s{number}"), Some("3"), number, number);
    }
    let service = "chat".parse().expect("a name");
    assert_eq!(hub.table.service_limits(&service).count(), 4_096);
    let mut local = LocalReports::new(1);
    let odd = Announcement::Invalid("few".to_owned());
    let server = life("s", 1);
    let said = local.record_response(&server, &odd, mark(1), at(0), at(1));
    assert_eq!(said, Some(odd.clone()));
    assert_eq!(
        local.record_response(&server, &odd, mark(2), at(1), at(2)),
        None
    );
    assert!(!local.blocks(&server, mark(1)) && local.pending_reports().reports.is_empty());
}

fn limit(text: &str) -> Limit {
    Limit {
        rate: rate(text),
        last_unaware_grant: 0,
        confirmed: true,
    }
}

/// How many places a server gets within so many seconds, looked for every 10 ms.
fn gets(ledger: &mut RateLimiter, server: &Server, from: u64, seconds: u64) -> usize {
    let times = (0..seconds * 100).map(|step| at(from + step * 10));
    let got = times.filter(|now| {
        let admits = ledger.admits(server, *now);
        admits && ledger.acquire(server, *now)
    });
    got.count()
}

/// A server gets what it names, no more at the beginning, and one in 5 s at the least: it says in its answers only that
/// it has no limit any more.
#[test]
fn gets_what_it_names() {
    let server = life("s", 1);
    for (named, got) in [("0", 2), ("0.2", 2), ("3", 30), ("40", 400)] {
        let mut ledger = RateLimiter::granting();
        ledger.set_limit(&Key::from_server(&server), Some(&limit(named)), at(0));
        let got_of = gets(&mut ledger, &server, 0, 10);
        assert!(got_of <= got && got_of + 2 >= got, "{named}: {got_of}");
    }
    let mut closed = RateLimiter::closed();
    closed.set_limit(&Key::from_server(&server), Some(&limit("40")), at(0));
    assert_eq!(gets(&mut closed, &server, 0, 10), 0);
}

/// Another life owes nothing to the former one, but for what was heard lately and may have been its own word.
#[test]
fn another_life() {
    let (former, next) = (life("s", 1), life("s", 2));
    for (met, is_held) in [(4_999, true), (5_000, false)] {
        let mut local = LocalReports::new(1);
        local.record_response(&former, &named("3"), mark(1), at(0), at(0));
        local.observe_servers([&next].into_iter(), at(met));
        assert_eq!(local.blocks(&next, mark(2)), is_held, "{met}");
    }
    // What is told late of the former one says nothing of the next, and both together get what one does.
    let mut ledger = RateLimiter::granting();
    for server in [&former, &next] {
        ledger.set_limit(&Key::from_server(server), Some(&limit("3")), at(0));
    }
    let times = (0..1_000).map(|step| (step, at(step * 10)));
    let got = times.filter(|(step, now)| {
        let server = if step % 2 == 0 { &former } else { &next };
        ledger.admits(server, *now) && ledger.acquire(server, *now)
    });
    assert!(got.count() <= 30);
    ledger.set_limit(&Key::from_server(&former), None, at(10_000));
    assert!(ledger.admits(&former, at(10_000)) && ledger.rate(&next).is_some());
}

/// What a new hub is told of a limit may be out of date: it gives one place by it, and more once an answer to that has
/// named it.
#[test]
fn unconfirmed() {
    let server = life("s", 1);
    let mut ledger = RateLimiter::granting();
    let told = Limit {
        confirmed: false,
        ..limit("40")
    };
    ledger.set_limit(&Key::from_server(&server), Some(&told), at(0));
    assert_eq!(gets(&mut ledger, &server, 0, 4), 1);
    ledger.set_limit(&Key::from_server(&server), Some(&limit("40")), at(4_000));
    assert!(gets(&mut ledger, &server, 4_000, 1) >= 38);
}
