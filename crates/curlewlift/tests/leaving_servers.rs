//! Servers that the platform lists as leaving are drained, so that they get no new requests. The
//! platform may repeat an older list: it must not change the state of a server.

mod support;

use std::net::TcpListener;
use std::time::Duration;

use curlewlift::Control;
use curlewlift::Operator;
use curlewlift_lab::standin::Platform;

#[test]
fn listed_as_leaving() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let platform = runtime.block_on(Platform::start());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let rpc = listener.local_addr().expect("an address");
    let control = Control::new("c1".parse().expect("a name"), listener)
        .data(support::folder("listed_as_leaving"))
        .found(true)
        .platform(Some(platform.address()));
    let control = control.start().expect("the control replica starts");
    let operator = Operator::new("root".parse().expect("a name"), "", vec![rpc]);
    for (number, line) in [
        "create service s model=m",
        "create server x service=s address=127.0.0.1:1 hall=h",
        "create server y service=s address=127.0.0.1:2 hall=h",
    ]
    .iter()
    .enumerate()
    {
        operator
            .run(number as u64 + 1, line)
            .expect("the command is applied");
    }
    let leaving = || {
        let rows = operator.run(0, "show servers where state = leaving columns name as json");
        rows.expect("the operator gets an answer")
    };
    let wait_for = |expected: &str| {
        for _ in 0..200 {
            if leaving() == expected {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("servers that are leaving: {}", leaving());
    };
    platform.set_hosts(5, &[("x", true), ("y", false)]);
    wait_for("{\"name\":\"x\"}\n");
    platform.set_hosts(4, &[("x", false), ("y", true)]);
    std::thread::sleep(Duration::from_millis(1_500));
    wait_for("{\"name\":\"x\"}\n");
    platform.set_hosts(6, &[("y", true)]);
    wait_for("{\"name\":\"x\"}\n{\"name\":\"y\"}\n");
    // Two servers in one list: each drain is a command of its own.
    for (number, name) in [(10, "a"), (11, "b")] {
        let line = format!("create server {name} service=s address=127.0.0.1:3 hall=h");
        operator.run(number, &line).expect("the command is applied");
    }
    platform.set_hosts(7, &[("a", true), ("b", true), ("y", true)]);
    wait_for("{\"name\":\"a\"}\n{\"name\":\"b\"}\n{\"name\":\"x\"}\n{\"name\":\"y\"}\n");
    control.kill();
}
