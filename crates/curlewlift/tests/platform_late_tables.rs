//! Configurations that were acknowledged, and hosts that receive them late: no host denies by an older table what the
//! acknowledged one allows.

mod platform;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use curlewlift::core::event::Kind;
use curlewlift::core::publication;
use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::KeptConnection;
use platform::add_route;
use platform::document;
use platform::folder;
use platform::large_document;
use platform::send_head;
use platform::send_request;
use platform::wait;
use serde_json::Value;
use serde_json::json;

/// Gateways behind the narrow link.
const NARROW_GATEWAYS: u8 = 2;

/// The rate of the link in bytes per second: a large table takes about a quarter of a second to one gateway.
const LINK_BYTES_PER_S: u64 = 125_000;

/// The rate of a link over which the largest table takes longer than a host may decide by the one before it.
const SLOW_LINK_BYTES_PER_S: u64 = 24_000;

/// The routes of a large table.
const LARGE: u32 = 1_400;

/// How often each host is asked after an acknowledgement.
const REQUESTS: u32 = 20;

/// Starts three hosts with a disk, and others behind a narrow link.
fn start(name: &str, engine: &Engine) -> Hosts {
    let engines = [(engine, "chat")];
    let hosts = Hosts::start_more(
        folder(name),
        &engines,
        NARROW_GATEWAYS,
        Some(LINK_BYTES_PER_S),
    );
    hosts.configure(&document(7).to_string());
    hosts
}

/// Sends a request for `path` with `key` to a host; returns the status.
fn get(hosts: &Hosts, host: usize, path: &str, key: &str) -> u16 {
    send_get(hosts, host, path, key).status
}

/// Does the same, and returns the whole answer.
fn send_get(hosts: &Hosts, host: usize, path: &str, key: &str) -> Answer {
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
         X-Deadline-Ms: 5000\r\nAuthorization: Bearer {key}"
    );
    send_request(hosts.callers(host), &head, "")
}

/// Announces a body to a host that is larger than the table allows; returns the status.
fn announce_too_much(hosts: &Hosts, host: usize) -> u16 {
    let limit = document(7)["limits"]["max_body_bytes"].as_u64();
    let length = limit.expect("a limit") + 1;
    let head = format!(
        "POST /open/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
         X-Deadline-Ms: 5000\r\nContent-Length: {length}"
    );
    send_head(hosts.callers(host), &head).status
}

/// Puts a document until it is acknowledged.
fn acknowledge(hosts: &Hosts, host: usize, document: &Value) {
    let document = document.to_string();
    wait("the configuration is acknowledged", || {
        hosts.put(host, &document) == 200
    });
}

/// The version of the configuration that a host reads; none if it refuses.
fn read_version(hosts: &Hosts, host: usize) -> Option<u64> {
    let head = "GET /api/config/get HTTP/1.1\r\nHost: x";
    let answer = send_request(hosts.control(host), head, "");
    let read: Option<Value> = serde_json::from_str(&answer.body).ok();
    read.filter(|_| answer.status == 200)?["version"].as_u64()
}

/// Asks each host for what a table allows, from its acknowledgement on; returns the statuses that deny it.
fn denials(hosts: &Hosts, path: &str, key: &str) -> Vec<(usize, u16)> {
    denials_at(hosts, hosts.indices(), path, key)
}

/// Asks these hosts only.
fn denials_at(
    hosts: &Hosts,
    asked: impl Iterator<Item = usize>,
    path: &str,
    key: &str,
) -> Vec<(usize, u16)> {
    let ask = |host| {
        let statuses = (0..REQUESTS).map(move |_| get(hosts, host, path, key));
        let denials = statuses.filter(|status| matches!(status, 401 | 403 | 404));
        denials.map(move |status| (host, status)).collect()
    };
    std::thread::scope(|scope| {
        let callers: Vec<_> = asked
            .map(|host| scope.spawn(move || -> Vec<_> { ask(host) }))
            .collect();
        let denials = callers.into_iter();
        let denials = denials.flat_map(|caller| caller.join().expect("the caller does not panic"));
        denials.collect()
    })
}

#[test]
fn denied_after_acknowledgement() {
    let engine = Engine::start("i-1");
    let hosts = start("denied_after_acknowledgement", &engine);
    // The number of routes, and whether a route or a customer's key is new.
    let cases = [
        (0, true),
        (0, false),
        (LARGE, true),
        (LARGE, false),
        (0, true),
        (LARGE, true),
    ];
    for (version, (routes, adds_route)) in (8..).zip(cases) {
        let mut table = large_document(version, routes);
        let (mut path, mut key) = ("/safe/".to_owned(), "key-ann".to_owned());
        if adds_route {
            let name = format!("new-{version}");
            add_route(&mut table, &name);
            path = format!("/{name}/");
        } else {
            key = format!("key-{version}");
            table["tenants"][0]["api_keys"] = json!(["key-ann", key]);
        }
        acknowledge(&hosts, usize::from(adds_route), &table);
        let denied = denials(&hosts, &path, &key);
        assert_eq!(denied, [], "version {version}, {routes} routes");
        let events = hosts.timeline(Kind::TableAcknowledged);
        let number = format!("number={version} ");
        assert!(events.iter().any(|event| event.detail.starts_with(&number)));
    }
}

/// What a host sends for a small change does not grow with the table.
#[test]
fn whole_table_for_small_change() {
    let engine = Engine::start("i-1");
    let hosts = start("whole_table_for_small_change", &engine);
    acknowledge(&hosts, 0, &large_document(8, LARGE));
    let holds = |path: &str| {
        let mut hosts_without_disk = 3..hosts.indices().end;
        hosts_without_disk.all(|host| get(&hosts, host, path, "key-ann") == 200)
    };
    wait("all hosts hold the large table", || holds("/00000000/"));
    let before = hosts.link_bytes();
    for version in 9..14 {
        let mut table = large_document(version, LARGE);
        let name = format!("new-{version}");
        add_route(&mut table, &name);
        acknowledge(&hosts, 0, &table);
        wait("all hosts hold the change", || holds(&format!("/{name}/")));
    }
    let sent = hosts.link_bytes() - before;
    let changes = 5 * u64::from(NARROW_GATEWAYS);
    let whole = curlewlift::core::state::Document::pack(&large_document(8, LARGE).to_string());
    let whole = whole.as_packed().len() as u64;
    assert!(
        sent < changes * whole / 2,
        "{sent} bytes for {changes} small changes of a table of {whole} bytes"
    );
}

/// Sends a document to a host that may be lost meanwhile; returns after `delay`, before the reply.
fn put_meanwhile(hosts: &Hosts, host: usize, document: &Value, delay: u64) -> JoinHandle<Answer> {
    let (address, text) = (hosts.control(host), document.to_string());
    let reply = std::thread::spawn(move || {
        let head = "POST /api/config/put HTTP/1.1\r\nHost: x";
        KeptConnection::default().send(address, head, &text)
    });
    std::thread::sleep(Duration::from_millis(delay));
    reply
}

/// A large table of a version, larger than those before it, with a route of its own; returns also the path of that.
fn larger_table(version: u64) -> (Value, String) {
    let routes = LARGE * u32::try_from(version - 7).expect("few");
    let mut table = large_document(version, routes);
    add_route(&mut table, &format!("new-{version}"));
    (table, format!("/new-{version}/"))
}

fn kill(hosts: &mut Hosts, lost: &[usize]) {
    for host in lost {
        hosts.kill(*host);
    }
}

/// Starts hosts again, and waits until callers may be sent there.
fn restart(hosts: &mut Hosts, lost: &[usize]) {
    for host in lost {
        hosts.boot(*host, false);
    }
    wait("the lost hosts are ready", || {
        lost.iter().all(|host| hosts.is_ready(*host))
    });
}

/// Hosts that are lost while others receive a large table: it is acknowledged by those that are left, or back, and nothing
/// that it allows is denied at any host from then on.
#[test]
fn lost_in_transfer() {
    const ALL: [usize; 5] = [0, 1, 2, 3, 4];
    let engine = Engine::start("i-1");
    let mut hosts = start("lost_in_transfer", &engine);
    // The hosts, and for how long after the table was sent they still run. Others are lost once it is acknowledged.
    let cases: [(&[usize], Option<u64>); 6] = [
        (&[0], Some(0)),
        (&[1], Some(60)),
        (&[2], Some(250)),
        (&[0], None),
        (&ALL, Some(150)),
        (&ALL, None),
    ];
    for (version, (lost, delay)) in (8..).zip(cases) {
        let (table, path) = larger_table(version);
        let first = lost[0];
        if let Some(delay) = delay {
            let reply = put_meanwhile(&hosts, first, &table, delay);
            kill(&mut hosts, lost);
            reply.join().expect("the operator does not panic");
        } else {
            acknowledge(&hosts, first, &table);
            kill(&mut hosts, lost);
        }
        let all_lost = lost.len() == hosts.indices().len();
        if all_lost {
            restart(&mut hosts, lost);
        }
        let other = (first + 1) % 3;
        if delay.is_some() {
            acknowledge(&hosts, other, &table);
        }
        let running = || {
            hosts
                .indices()
                .filter(|host| all_lost || !lost.contains(host))
        };
        let denied = denials_at(&hosts, running(), &path, "key-ann");
        assert_eq!(denied, [], "version {version}");
        wait("all others have the table in effect", || {
            running().all(|host| get(&hosts, host, &path, "key-ann") == 200)
        });
        // The same table again is acknowledged again, also by the next leader.
        acknowledge(&hosts, other, &table);
        if !all_lost {
            restart(&mut hosts, lost);
        }
        wait("the lost hosts have the table in effect", || {
            let mut lost = lost.iter();
            lost.all(|host| get(&hosts, *host, &path, "key-ann") == 200)
        });
    }
}

/// Links to each replica in turn that turn silent, without a reset, while a large table is sent: gateways hear of it from the
/// others, and receive it from them.
#[test]
fn silent_in_transfer() {
    let engine = Engine::start("i-1");
    let hosts = start("silent_in_transfer", &engine);
    for (version, (silent, delay)) in (8..).zip([(0, 0), (1, 100), (2, 0), (0, 250)]) {
        let (table, path) = larger_table(version);
        let other = (silent + 1) % 3;
        let reply = put_meanwhile(&hosts, other, &table, delay);
        hosts.silence_link(&[silent]);
        if reply.join().expect("the operator does not panic").status != 200 {
            acknowledge(&hosts, other, &table);
        }
        let denied = denials(&hosts, &path, "key-ann");
        assert_eq!(denied, [], "version {version}");
        for host in hosts.indices() {
            wait("the table is in effect", || {
                get(&hosts, host, &path, "key-ann") == 200
            });
        }
        hosts.silence_link(&[]);
    }
}

/// A host that receives a table for too long after it has heard of it sends no requests where only the older one would.
#[test]
fn moved_route() {
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    let listed = [(&engines[0], "chat"), (&engines[1], "pay")];
    let hosts = Hosts::start_more(
        folder("moved_route"),
        &listed,
        1,
        Some(SLOW_LINK_BYTES_PER_S),
    );
    hosts.configure(&document(7).to_string());
    let mut table = large_document(8, 6 * LARGE);
    let routes = table["routes"].as_array_mut().expect("routes");
    let moved = routes.iter_mut().find(|route| route["name"] == "open");
    moved.expect("the route")["service"] = json!("pay");
    let (mut outcomes, mut was_unready) = (Vec::new(), false);
    std::thread::scope(|scope| {
        scope.spawn(|| acknowledge(&hosts, 0, &table));
        wait("the route has moved", || {
            let before = engines.each_ref().map(|engine| engine.received().len());
            let answer = send_get(&hosts, 3, "/open/", "key-ann");
            let is_used = |index: usize| engines[index].received().len() > before[index];
            if is_used(0) || is_used(1) {
                outcomes.push(if is_used(1) { "moved" } else { "former" });
            } else if answer.body.contains("7008") {
                outcomes.push("undecided");
                was_unready |= !hosts.is_ready(3);
            }
            is_used(1)
        });
    });
    assert!(was_unready, "callers were sent there");
    outcomes.dedup();
    assert_eq!(outcomes, ["former", "undecided", "moved"]);
}

/// What hosts say of a path that no table has, and of one that a table has, while they can't be sure that theirs is the
/// newest.
#[test]
fn denied_by_unconfirmed_table() {
    let engine = Engine::start("i-1");
    let mut hosts = start("denied_by_unconfirmed_table", &engine);
    let asked = |hosts: &Hosts, host| {
        let paths = ["/none/", "/open/"].map(|path| get(hosts, host, path, "key-ann"));
        (paths, announce_too_much(hosts, host))
    };
    let sure = ([404, 200], 413);
    for host in hosts.indices() {
        wait("what is sure is denied", || asked(&hosts, host) == sure);
    }
    // A suspended host may have missed a table.
    hosts.suspend(4, Duration::from_secs(10));
    let status = get(&hosts, 4, "/none/", "key-ann");
    assert!(matches!(status, 404 | 503), "{status}");
    wait("it is sure again", || asked(&hosts, 4) == sure);
    // Without a leader nobody knows whether there is a newer table.
    hosts.kill(1);
    hosts.kill(2);
    std::thread::sleep(publication::MAX_LEASE);
    for host in [0, 3, 4] {
        assert_eq!(asked(&hosts, host), ([503, 200], 503), "host {host}");
    }
    hosts.boot(1, false);
    for host in [0, 3, 4] {
        wait("it is sure again", || asked(&hosts, host) == sure);
    }
}

/// Tables of two operators in quick succession, large ones among small ones, while hosts are killed in turn: no host goes
/// back to an older table, and the newest one is read and in effect everywhere afterwards.
#[test]
fn older_table_after_newer() {
    let engine = Engine::start("i-1");
    let mut hosts = start("older_table_after_newer", &engine);
    let version = AtomicU64::new(7);
    let routes = |version: u64| if version.is_multiple_of(5) { LARGE } else { 0 };
    for lost in [2, 4, 1, 3, 0] {
        let stop = AtomicBool::new(false);
        std::thread::scope(|scope| {
            for operator in 0..2 {
                let (hosts, version, stop) = (&hosts, &version, &stop);
                scope.spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        let next = version.fetch_add(1, Ordering::Relaxed) + 1;
                        let mut table = large_document(next, routes(next));
                        add_route(&mut table, &format!("new-{next}"));
                        let status = hosts.put(operator, &table.to_string());
                        assert!(matches!(status, 200 | 503), "{status}");
                    }
                });
            }
            for host in hosts.indices() {
                let (hosts, stop) = (&hosts, &stop);
                scope.spawn(move || {
                    let mut newest = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let read = read_version(hosts, host);
                        assert!(read.is_none_or(|read| read >= newest), "host {host}");
                        newest = read.unwrap_or(newest);
                    }
                });
            }
            std::thread::sleep(Duration::from_secs(1));
            stop.store(true, Ordering::Relaxed);
        });
        hosts.kill(lost);
        if lost == 2 {
            // Its replica receives a snapshot from the leader.
            hosts.wipe(lost);
        }
        hosts.boot(lost, false);
        wait("the host is ready again", || hosts.is_ready(lost));
    }
    let newest = version.load(Ordering::Relaxed) + 1;
    let mut table = document(newest);
    add_route(&mut table, "last");
    acknowledge(&hosts, 0, &table);
    for host in hosts.indices() {
        wait("the newest table is read", || {
            read_version(&hosts, host) == Some(newest)
        });
        wait("the newest table is in effect", || {
            get(&hosts, host, "/last/", "key-ann") == 200
        });
    }
}
