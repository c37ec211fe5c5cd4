//! Whole sessions of callers and operators, compared with golden files.

mod support;

use std::process::Command;

use axum::http::Method;
use curlewlift::Operator;
use curlewlift_core::event::Filter;
use curlewlift_core::id;
use curlewlift_lab::client::Client;
use curlewlift_lab::site::Site;

use support::SmallSystem;
use support::folder;
use support::golden::Session;

const KEY_HEADER: &str = "idempotency-key";

#[test]
fn streamed_chat() {
    let small = SmallSystem::start("streamed_chat", 1, 1, 1);
    let mut session = Session::default();
    let body = Client::chat("m", "hello", 3, true);
    session.record_action(&format!("POST /v1/chat/completions {body}"));
    let headers = [(KEY_HEADER, "k1")];
    let reply = small.ann.post(small.site.entry(0), &headers, body);
    session.record_response(&small.runtime.block_on(reply));
    session.check("streamed_chat");
}

#[test]
fn plain_call() {
    let small = SmallSystem::start("plain_call", 1, 1, 1);
    let mut session = Session::default();
    session.record_action("POST /services/pay/charge?room=7 120 EUR");
    let path = "/services/pay/charge?room=7";
    let address = small.site.entry(0);
    let reply = small.ann.send(
        address,
        Method::POST,
        path,
        &[(KEY_HEADER, "c1")],
        "120 EUR",
    );
    session.record_response(&small.runtime.block_on(reply));
    session.check("plain_call");
}

#[test]
fn resend_elsewhere() {
    let small = SmallSystem::start("golden_resend", 1, 3, 1);
    let mut session = Session::default();
    for (entry, prompt) in [(0, "hello"), (1, "hello"), (2, "other")] {
        let body = Client::chat("m", prompt, 2, false);
        session.record_action(&format!(
            "entry {}: POST /v1/chat/completions {body}",
            entry + 1
        ));
        let reply = small
            .ann
            .post(small.site.entry(entry), &[(KEY_HEADER, "k1")], body);
        session.record_response(&small.runtime.block_on(reply));
    }
    session.record_action("entry 2: GET /curlewlift/requests/k1");
    let path = "/curlewlift/requests/k1";
    let state = small
        .ann
        .send(small.site.entry(1), Method::GET, path, &[], "");
    session.record_response(&small.runtime.block_on(state));
    session.check("resend_elsewhere");
}

#[test]
fn refused_request() {
    let small = SmallSystem::start("refused_request", 1, 1, 1);
    let mut session = Session::default();
    let body = Client::chat("m", "hello", 1_000, false);
    session.record_action(&format!("POST /v1/chat/completions in 100 ms {body}"));
    let headers = [(KEY_HEADER, "k1"), ("curlewlift-deadline-ms", "100")];
    let reply = small.ann.post(small.site.entry(0), &headers, body);
    session.record_response(&small.runtime.block_on(reply));
    session.check("refused_request");
}

#[test]
fn drained_servers() {
    let mut small = SmallSystem::start("drained_servers", 1, 1, 2);
    let mut session = Session::default();
    for line in [
        "change service chat floor=1",
        "dry drain server m1",
        "drain server m1",
        "drain server m2",
        "show servers where service = chat columns name, state, slots",
    ] {
        session.record_action(line);
        let number = small.site.next_number();
        match small.site.operator().run(number, line) {
            Ok(text) => session.record_lines(&text),
            Err(refusal) => session.record_lines(&refusal.to_string()),
        }
    }
    small.site.wait_for_revision();
    for number in 0..6 {
        let body = Client::chat("m", &format!("hello {number}"), 2, false);
        let reply = small.ann.post(small.site.entry(0), &[], body);
        assert_eq!(small.runtime.block_on(reply).status, 200);
    }
    let runs: Vec<_> = small
        .engines
        .iter()
        .map(|engine| engine.stats().runs.len())
        .collect();
    session.record_lines(&format!("requests run at m1 and m2 after that: {runs:?}"));
    session.check("drained_servers");
}

#[test]
fn bad_setting() {
    let mut session = Session::default();
    for (variables, arguments) in [
        (vec![], vec!["entry", "--host", "e1"]),
        (vec![("CURLEWLIFT_HOTS", "e1")], vec!["version"]),
        (vec![], vec!["--log", "loud", "version"]),
        (vec![], vec!["entry", "--rpc", "localhost:1"]),
        (
            vec![("CURLEWLIFT_LEASE_MS", "100")],
            vec![
                "entry",
                "--host",
                "e1",
                "--hall",
                "a",
                "--rpc",
                "127.0.0.1:1",
                "--http",
                "127.0.0.1:2",
                "--control",
                "c1=127.0.0.1:3",
            ],
        ),
        (
            vec![],
            vec![
                "control",
                "--host",
                "c1",
                "--rpc",
                "127.0.0.1:1",
                "--control",
                "c1=127.0.0.1:2",
                "--data",
                "d",
            ],
        ),
        (vec![], vec!["check", "caller"]),
        (
            vec![],
            vec!["timeline", "--from", "127.0.0.1:1", "--key", "k"],
        ),
    ] {
        let assignments: Vec<_> = variables
            .iter()
            .map(|(name, value)| format!("{name}={value} "))
            .collect();
        session.record_action(&format!(
            "{}curlewlift {}",
            assignments.concat(),
            arguments.join(" ")
        ));
        let output = Command::new(env!("CARGO_BIN_EXE_curlewlift"))
            .args(arguments)
            .env_clear()
            .envs(variables)
            .output()
            .expect("the command runs");
        session.record_lines(&String::from_utf8_lossy(&output.stderr));
        session.record_lines(&format!("exit code {}", output.status.code().unwrap_or(-1)));
    }
    session.check("bad_setting");
}

#[test]
fn racing_operators() {
    let mut site = Site::start(&folder("racing_operators"), &["a", "b", "c"], 3, 0);
    site.wait_for_replicas(3);
    let ben_hash = curlewlift::digest("ben-key");
    site.run(&format!(
        "create operator ben key_hash={ben_hash} right=write"
    ));
    let eve_hash = curlewlift::digest("eve-key");
    site.run(&format!(
        "create operator eve key_hash={eve_hash} right=read"
    ));
    let control = site.control_addresses();
    let root = site.operator();
    let ben = Operator::new("ben".parse().expect("a name"), "ben-key", control.clone());
    let eve = Operator::new("eve".parse().expect("a name"), "eve-key", control);
    let mut session = Session::default();
    let mut run_line = |name: &str, operator: &Operator, number: u64, line: &str| {
        session.record_action(&format!("{name} {number}: {line}"));
        match operator.run(number, line) {
            Ok(text) => session.record_lines(&text),
            Err(refusal) => session.record_lines(&refusal.to_string()),
        }
    };
    run_line("root", &root, 100, "create tier live rank=0");
    run_line("ben", &ben, 100, "create tier quick rank=0");
    run_line("ben", &ben, 101, "create tier quick rank=0");
    run_line("ben", &ben, 102, "create tier quick rank=1");
    run_line("eve", &eve, 103, "create tier late rank=2");
    run_line("eve", &eve, 0, "show tiers sort by rank down");
    site.kill_control(0);
    run_line("root", &root, 100, "create tier live rank=0");
    run_line("ben", &ben, 102, "create tier quick rank=1");
    run_line("ben", &ben, 102, "create tier quick rank=2");
    for replica in 1..3 {
        site.kill_control(replica);
    }
    for replica in 0..3 {
        site.restart_control(replica);
    }
    run_line("ben", &ben, 101, "create tier quick rank=0");
    run_line(
        "eve",
        &eve,
        0,
        "show audit where number > 99 columns operator, number, code, line as json",
    );
    session.check("racing_operators");
}

#[test]
fn merged_timeline() {
    let small = SmallSystem::start("merged_timeline", 1, 3, 1);
    let body = Client::chat("m", "hello", 3, true);
    let reply = small
        .ann
        .post(small.site.entry(0), &[(KEY_HEADER, "k1")], body);
    assert_eq!(small.runtime.block_on(reply).status, 200);
    let ann = "ann".parse().expect("a name");
    let filter = Filter {
        key: Some(id::Key::new(&ann, "k1")),
        ..Filter::default()
    };
    let (lines, unreachable) =
        curlewlift::collect(&small.site.rpc_addresses(), &filter).expect("collected");
    assert!(unreachable.is_empty());
    let mut hosts: Vec<_> = lines.iter().map(|line| line.host.as_str()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    assert_eq!(
        hosts,
        ["e1", "e2", "e3"],
        "the timeline has events of all three entries"
    );
    let position = |number| lines.iter().position(|line| line.kind.number() == number);
    let order: Vec<_> = [200, 212, 203, 204, 205, 207].map(position).to_vec();
    assert!(
        order.iter().all(Option::is_some) && order.is_sorted(),
        "{lines:#?}"
    );
    assert!(
        position(211) < position(201),
        "a replica stores the claim before the key counts as claimed"
    );
    assert!(
        lines.iter().all(|line| !line.to_string().contains("hello")),
        "no event holds content of the request"
    );
}
