//! Backend servers that leave by the platform's list get no new work (rows M1, M2).

mod support;

use std::net::TcpListener;
use std::time::Duration;

use curlewlift::Control;
use curlewlift::Operator;
use curlewlift_lab::standin::Platform;

#[test]
fn listed_leaving() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let platform = runtime.block_on(Platform::start());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let rpc = listener.local_addr().expect("an address");
    let control = Control::new("c1".parse().expect("a name"), listener)
        .data(support::folder("listed_leaving"))
        .found(true)
        .platform(Some(platform.address()));
    let control = control.start().expect("it starts");
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
            .expect("it is applied");
    }
    let leaving = || {
        let rows = operator.run(0, "show servers where state = leaving columns name as json");
        rows.expect("it answers")
    };
    let wait_for = |wanted: &str| {
        for _ in 0..200 {
            if leaving() == wanted {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("leaving: {}", leaving());
    };
    platform.set_hosts(5, &[("x", true), ("y", false)]);
    wait_for("{\"name\":\"x\"}\n");
    platform.set_hosts(4, &[("x", false), ("y", true)]);
    std::thread::sleep(Duration::from_millis(1_500));
    wait_for("{\"name\":\"x\"}\n");
    platform.set_hosts(6, &[("y", true)]);
    wait_for("{\"name\":\"x\"}\n{\"name\":\"y\"}\n");
    // Two at once: each drain is a command of its own.
    for (number, name) in [(10, "a"), (11, "b")] {
        let line = format!("create server {name} service=s address=127.0.0.1:3 hall=h");
        operator.run(number, &line).expect("it is applied");
    }
    platform.set_hosts(7, &[("a", true), ("b", true), ("y", true)]);
    wait_for("{\"name\":\"a\"}\n{\"name\":\"b\"}\n{\"name\":\"x\"}\n{\"name\":\"y\"}\n");
    control.kill();
}
