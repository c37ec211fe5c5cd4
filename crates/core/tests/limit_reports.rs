//! Limits that servers announce: which of two reports applies, what gateways and hubs report to each other, and how
//! many requests a limited server gets.
//!
//! Responses of different gateways reach the hub in any order, and hubs change. If an old report counted as new, a
//! limit would be lifted or raised too early and the server overloaded.

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

use support::incarnations::incarnation;

const HUB: u64 = 77;

fn at(millis: u64) -> Instant {
    Instant::default() + Duration::from_millis(millis)
}

fn rate(text: &str) -> Rate {
    text.parse().expect("a valid rate")
}

fn limited(text: &str) -> Announcement {
    Announcement::Limited(rate(text))
}

fn grant_id(number: u64) -> GrantId {
    GrantId {
        hub_id: HUB,
        number,
    }
}

fn host() -> id::Host {
    "g".parse().expect("a valid name")
}

/// A hub's table and the reports of one gateway.
struct Hub {
    table: Table,
    report_number: u64,
}

impl Hub {
    fn new() -> Self {
        let table = Table::new(HUB);
        Self {
            table,
            report_number: 0,
        }
    }

    /// Reports that a response to the request of grant `granted` announced `limit`, when `last_grant` is the hub's last
    /// grant.
    fn report(&mut self, name: &str, limit: Option<&str>, granted: u64, last_grant: u64) {
        self.report_number += 1;
        let server = incarnation(name, 1);
        let report = Report {
            number: self.report_number,
            key: Key::from_server(&server),
            rate: limit.map(rate),
            grant_id: grant_id(granted),
        };
        self.receive(vec![report], last_grant);
    }

    fn receive(&mut self, reports: Vec<Report>, last_grant: u64) {
        let reports = Reports {
            incarnation: 1,
            reports,
            ..Reports::default()
        };
        self.table.record(&host(), &reports, last_grant, at(0));
    }

    fn limit(&self, name: &str) -> Option<String> {
        let service = "chat".parse().expect("a valid name");
        let mut limits = self.table.service_limits(&service);
        let limit = limits.find(|(key, ..)| *key.name == *name);
        limit.map(|(_, limit, _)| limit.rate.to_string())
    }
}

/// A limit is lifted or raised only by a response to a grant that the hub gave after the limit was reported.
#[test]
fn newer_report_applies() {
    let mut hub = Hub::new();
    hub.report("s", Some("3"), 5, 10);
    hub.report("s", None, 10, 11);
    assert_eq!(
        hub.limit("s").as_deref(),
        Some("3"),
        "the response may be older than the limit"
    );
    hub.report("s", Some("8"), 9, 11);
    assert_eq!(
        hub.limit("s").as_deref(),
        Some("3"),
        "the lower of the two rates"
    );
    hub.report("s", Some("2"), 9, 12);
    assert_eq!(
        hub.limit("s").as_deref(),
        Some("2"),
        "the lower of the two rates"
    );
    hub.report("s", Some("8"), 13, 14);
    assert_eq!(
        hub.limit("s").as_deref(),
        Some("8"),
        "the response is newer"
    );
    hub.report("s", None, 14, 15);
    assert!(hub.limit("s").is_some(), "announced again since");
    hub.report("s", None, 15, 16);
    assert_eq!(hub.limit("s"), None);
}

/// A response to a grant of another hub, or to a request without a grant, does not count as newer.
#[test]
fn other_hubs_grants() {
    let mut hub = Hub::new();
    hub.report("s", Some("3"), 5, 10);
    let server = incarnation("s", 1);
    for (number, grant_id) in [
        (
            2,
            GrantId {
                hub_id: 1,
                number: 99,
            },
        ),
        (3, GrantId::default()),
    ] {
        let report = Report {
            number,
            key: Key::from_server(&server),
            rate: None,
            grant_id,
        };
        hub.receive(vec![report], 100);
    }
    assert!(hub.limit("s").is_some());
}

/// A report that is resent until it is acknowledged does not undo a later one.
#[test]
fn resent_reports() {
    let mut hub = Hub::new();
    let mut local = LocalReports::new(1);
    local.record_response(
        &incarnation("s", 1),
        &limited("3"),
        grant_id(1),
        at(0),
        at(1),
    );
    let pending = local.pending_reports();
    hub.receive(pending.reports.clone(), 1);
    assert!(hub.limit("s").is_some());
    hub.report_number = 1;
    hub.report("s", None, 2, 2);
    hub.receive(pending.reports, 3);
    assert_eq!(hub.limit("s"), None);
}

/// A gateway applies a limit until the hub lifts it, also through a change of the hub.
#[test]
fn kept_until_lifted() {
    let server = incarnation("s", 1);
    let (mut local, mut first_hub) = (LocalReports::new(1), Table::new(1));
    local.record_response(&server, &limited("3"), GrantId::default(), at(0), at(1));
    assert!(local.blocks(&server, grant_id(1)));
    // It is lifted neither by responses to this gateway, whatever their order, nor by the hub's acknowledgement.
    local.record_response(
        &server,
        &Announcement::NoLimit,
        GrantId::default(),
        at(0),
        at(2),
    );
    assert!(local.blocks(&server, grant_id(1)));
    let last_number = local.get_last_number();
    first_hub.record(&host(), &local.pending_reports(), 9, at(3));
    let _ = local.apply_reply(1, last_number, None, at(4));
    assert!(local.pending_reports().reports.is_empty());
    assert!(local.blocks(
        &server,
        GrantId {
            hub_id: 1,
            number: 9
        }
    ));
    first_hub.publish(at(5));
    let update = first_hub.update_since(local.get_table_version());
    let _ = local.apply_reply(1, last_number, update.as_ref(), at(6));
    assert!(local.blocks(
        &server,
        GrantId {
            hub_id: 1,
            number: 9
        }
    ));
    let later = GrantId {
        hub_id: 1,
        number: 10,
    };
    assert!(
        !local.blocks(&server, later),
        "granted after the hub knew of the limit"
    );
    // The limit is reported to the next hub.
    let update = Table::new(2).update_since(local.get_table_version());
    let _ = local.apply_reply(2, last_number, update.as_ref(), at(7));
    assert!(local.blocks(&server, later));
    assert_eq!(local.pending_reports().reports.len(), 1);
}

/// Gateways get the changes since their version, or the whole table if they are too far behind. New versions are
/// published at most four times a second, and not for a rate that is nearly the same.
#[test]
fn published_changes() {
    let mut hub = Hub::new();
    hub.report("s", Some("3"), 1, 1);
    assert!(hub.table.publish(at(0)));
    hub.report("t", Some("3"), 2, 2);
    assert!(!hub.table.publish(at(249)));
    assert!(hub.table.publish(at(250)));
    let update = hub
        .table
        .update_since((HUB, 1))
        .expect("an update, as the gateway is behind");
    assert_eq!((update.base_version, update.changes.len()), (Some(1), 1));
    let whole = hub
        .table
        .update_since((1, 1))
        .expect("the whole table, as the version is of another hub");
    assert_eq!((whole.base_version, whole.changes.len()), (None, 2));
    hub.report("t", Some("3.1"), 3, 3);
    assert!(!hub.table.publish(at(900)));
    assert_eq!(hub.table.update_since((HUB, 2)), None);
    hub.report("t", Some("4"), 4, 4);
    assert!(hub.table.publish(at(900)));
}

/// The hub remembers a bounded number of servers. An invalid limit is returned once, and limits nothing.
#[test]
fn bounded_memory() {
    let mut hub = Hub::new();
    for number in 0..5_000 {
        hub.report(&format!("s{number}"), Some("3"), number, number);
    }
    let service = "chat".parse().expect("a valid name");
    assert_eq!(hub.table.service_limits(&service).count(), 4_096);
    let mut local = LocalReports::new(1);
    let invalid = Announcement::Invalid("few".to_owned());
    let server = incarnation("s", 1);
    let announcement = local.record_response(&server, &invalid, grant_id(1), at(0), at(1));
    assert_eq!(announcement, Some(invalid.clone()));
    assert_eq!(
        local.record_response(&server, &invalid, grant_id(2), at(1), at(2)),
        None
    );
    assert!(!local.blocks(&server, grant_id(1)) && local.pending_reports().reports.is_empty());
}

fn limit(text: &str) -> Limit {
    Limit {
        rate: rate(text),
        last_unaware_grant: 0,
        confirmed: true,
    }
}

/// How many slots are granted at a server within some seconds, where one is requested every 10 ms.
fn granted_slots(limiter: &mut RateLimiter, server: &Server, from: u64, seconds: u64) -> usize {
    let times = (0..seconds * 100).map(|step| at(from + step * 10));
    let granted = times.filter(|now| {
        let admits = limiter.admits(server, *now);
        admits && limiter.acquire(server, *now)
    });
    granted.count()
}

/// A server gets requests at the announced rate, without a burst at the start, and at least one in 5 s: only a response
/// can tell that the limit is gone.
#[test]
fn announced_rate() {
    let server = incarnation("s", 1);
    for (rate, expected) in [("0", 2), ("0.2", 2), ("3", 30), ("40", 400)] {
        let mut limiter = RateLimiter::granting();
        limiter.set_limit(&Key::from_server(&server), Some(&limit(rate)), at(0));
        let granted = granted_slots(&mut limiter, &server, 0, 10);
        assert!(
            granted <= expected && granted + 2 >= expected,
            "a limit of {rate} gave {granted}"
        );
    }
    let mut closed = RateLimiter::closed();
    closed.set_limit(&Key::from_server(&server), Some(&limit("40")), at(0));
    assert_eq!(granted_slots(&mut closed, &server, 0, 10), 0);
}

/// The limit of an earlier incarnation does not apply to the next one, unless it was received so recently that it may
/// have come from the next one.
#[test]
fn another_incarnation() {
    let (former, next) = (incarnation("s", 1), incarnation("s", 2));
    for (seen_at, is_blocked) in [(4_999, true), (5_000, false)] {
        let mut local = LocalReports::new(1);
        local.record_response(&former, &limited("3"), grant_id(1), at(0), at(0));
        local.observe_servers([&next].into_iter(), at(seen_at));
        assert_eq!(
            local.blocks(&next, grant_id(2)),
            is_blocked,
            "seen after {seen_at} ms"
        );
    }
    // A late report about the former one does not concern the next, and both together get no more than one alone.
    let mut limiter = RateLimiter::granting();
    for server in [&former, &next] {
        limiter.set_limit(&Key::from_server(server), Some(&limit("3")), at(0));
    }
    let times = (0..1_000).map(|step| (step, at(step * 10)));
    let granted = times.filter(|(step, now)| {
        let server = if step % 2 == 0 { &former } else { &next };
        limiter.admits(server, *now) && limiter.acquire(server, *now)
    });
    assert!(granted.count() <= 30);
    limiter.set_limit(&Key::from_server(&former), None, at(10_000));
    assert!(limiter.admits(&former, at(10_000)) && limiter.rate(&next).is_some());
}

/// A limit that a new hub knows from a report of an earlier one may be out of date: the hub grants one slot, and more
/// once the response has confirmed the limit.
#[test]
fn unconfirmed_limit() {
    let server = incarnation("s", 1);
    let mut limiter = RateLimiter::granting();
    let unconfirmed = Limit {
        confirmed: false,
        ..limit("40")
    };
    limiter.set_limit(&Key::from_server(&server), Some(&unconfirmed), at(0));
    assert_eq!(granted_slots(&mut limiter, &server, 0, 4), 1);
    limiter.set_limit(&Key::from_server(&server), Some(&limit("40")), at(4_000));
    assert!(granted_slots(&mut limiter, &server, 4_000, 1) >= 38);
}
