//! A large routing table, distributed over a narrow network link.
//!
//! A table of 282,928 bytes was published at 70 gateways. The hub sent the whole table in one response to every gateway
//! at once, which filled the link of the leader's host. A response that took longer than the timeout of a poll (0.6 s)
//! was discarded and requested again, so the link stayed full and no transfer completed. The heartbeats queued behind
//! the tables, so the leader stepped down, and each following leader did too: 2.5 s after it had been confirmed, the
//! change was not in effect at 66 of the 70 gateways, and no other change was confirmed for half a minute.

mod platform;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::large_document;
use platform::send_request;
use platform::wait;
use serde_json::Value;

/// Additional gateways behind the link.
const EXTRA_GATEWAYS: u8 = 9;

/// The capacity of the link in bytes a second: sending the table to one gateway takes half of the timeout of a poll,
/// sending it to all of them takes some seconds.
const LINK_BYTES_PER_S: u64 = 1_000_000;

/// Additional rules of the large table, which make it some 290 KB.
const EXTRA_RULES: u32 = 1_200;

#[test]
fn large_table() {
    let engine = Engine::start("i-1");
    let engines = [(&engine, "chat")];
    let hosts = Hosts::start_more(
        folder("large_table"),
        &engines,
        EXTRA_GATEWAYS,
        Some(LINK_BYTES_PER_S),
    );
    hosts.configure(&document(7).to_string());
    let large = large_document(8, EXTRA_RULES);
    assert!(large.to_string().len() > 250_000);
    wait("the large table is accepted", || {
        hosts.put(0, &large.to_string()) == 200
    });
    let last = large["routes"].as_array().and_then(|rules| rules.last());
    let path = last.map(|rule| rule["path_prefix"].clone());
    let path = path
        .as_ref()
        .and_then(Value::as_str)
        .expect("the last rule has a path");
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 5000\r\n\
         Authorization: Bearer key-ann"
    );
    wait("the large table is in effect at all gateways", || {
        let mut host_indices = hosts.indices();
        host_indices.all(|host| send_request(hosts.callers(host), &head, "").status == 200)
    });
}
