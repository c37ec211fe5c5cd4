//! The platform's server list, while some hosts are cut off from the platform only.

mod platform;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::entry;
use platform::folder;
use platform::send_request;
use platform::wait;

/// Whichever host still reaches the platform, all hosts follow its list: not only the host beside the leader may fetch it.
#[test]
fn one_host_reaches_platform() {
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    let hosts = Hosts::start(
        folder("one_host_reaches_platform"),
        &[(&engines[0], "chat")],
    );
    hosts.configure(&document(7).to_string());
    let received = |engine: &Engine| engine.received().len();
    for (round, reachable) in hosts.indices().enumerate() {
        hosts.answer_list_calls_of(&[reachable]);
        let engine = &engines[(round + 1) % engines.len()];
        hosts.list(vec![entry(engine, "chat", "ready")]);
        for host in hosts.indices() {
            wait("requests go to the engine on the new list", || {
                let before = received(engine);
                let head = "GET /open/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a";
                send_request(hosts.callers(host), head, "").status == 200
                    && received(engine) > before
            });
        }
    }
}
