//! Configurations that were acknowledged, and hosts that receive them late: no host denies by an older table what the
//! acknowledged one allows.

mod platform;

use platform::Engine;
use platform::Hosts;
use platform::add_route;
use platform::document;
use platform::folder;
use platform::large_document;
use platform::send_request;
use platform::wait;
use serde_json::Value;
use serde_json::json;

/// Gateways behind the narrow link.
const NARROW_GATEWAYS: u8 = 2;

/// The rate of the link in bytes per second: a large table takes about a quarter of a second to one gateway.
const LINK_BYTES_PER_S: u64 = 125_000;

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
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
         X-Deadline-Ms: 5000\r\nAuthorization: Bearer {key}"
    );
    send_request(hosts.callers(host), &head, "").status
}

/// Puts a document until it is acknowledged.
fn acknowledge(hosts: &Hosts, host: usize, document: &Value) {
    let document = document.to_string();
    wait("the configuration is acknowledged", || {
        hosts.put(host, &document) == 200
    });
}

/// Asks each host for what a table allows, from its acknowledgement on; returns the statuses that deny it.
fn denials(hosts: &Hosts, path: &str, key: &str) -> Vec<(usize, u16)> {
    let ask = |host| {
        let statuses = (0..REQUESTS).map(move |_| get(hosts, host, path, key));
        let denials = statuses.filter(|status| matches!(status, 401 | 403 | 404));
        denials.map(move |status| (host, status)).collect()
    };
    std::thread::scope(|scope| {
        let callers = hosts.indices();
        let callers: Vec<_> = callers
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
