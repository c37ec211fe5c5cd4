//! Requests in the platform's words, through a gateway, to engines that fail in every way.

mod platform;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

/// Hosts with a configuration in force, and the two engines of `chat`.
struct World {
    hosts: Hosts,
    engines: [Engine; 2],
}

impl World {
    fn start(name: &str) -> Self {
        let engines = [Engine::start("i-1"), Engine::start("i-2")];
        let listed: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
        let hosts = Hosts::start(folder(name), &listed);
        hosts.configure(&document(7).to_string());
        Self { hosts, engines }
    }

    /// One request of `ann` on a route, which the engines answer as `play` says.
    fn play(&self, route: &str, play: &str) -> Answer {
        let head = format!(
            "POST /{route}/path?q=1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {play}-1\r\n\
             X-Play: {play}\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
        );
        send_request(self.hosts.callers(0), &head, "question")
    }

    /// How many requests reached an engine.
    fn received(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.received().len())
            .sum()
    }
}

#[test]
fn passed_unchanged() {
    let world = World::start("passed_unchanged");
    let head = "POST /safe/a%20b?x=%2F HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: one\r\n\
                X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann\r\nX-Tenant: forged\r\n\
                X-Hold: forged\r\nKv-From: forged\r\nX-Model: m\r\nX-Token-Counts: 10,20";
    let answer = send_request(world.hosts.callers(1), head, "the body");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    assert_eq!(answer.header("x-response-signature"), Some("sealed"));
    let requests = world.engines.iter().flat_map(Engine::received);
    let requests: Vec<_> = requests.collect();
    assert_eq!(requests.len(), 1);
    assert!(
        requests[0]
            .head
            .starts_with("POST /safe/a%20b?x=%2F HTTP/1.1\r\n")
    );
    assert_eq!(requests[0].body, "the body");
    assert_eq!(requests[0].header("x-tenant"), Some("ann"));
    assert_eq!(requests[0].header("x-model"), Some("m"));
    assert_eq!(requests[0].header("x-attempt-id"), Some("one"));
    for taken_off in ["authorization", "x-hold", "kv-from"] {
        assert_eq!(requests[0].header(taken_off), None, "{taken_off}");
    }
    let left: u64 = requests[0]
        .header("x-deadline-ms")
        .and_then(|left| left.parse().ok())
        .expect("set");
    assert!(left <= 5000);
}

#[test]
fn not_run_goes_elsewhere() {
    let world = World::start("not_run_goes_elsewhere");
    for round in 0..8 {
        let answer = world.play("once", "first=shed");
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "done"),
            "{round}"
        );
    }
    let answer = world.play("once", "shed");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some(), "nothing ran");
}

#[test]
fn unknown_runs_once() {
    let world = World::start("unknown_runs_once");
    for (number, play) in ["close", "short", "foreign", "unsigned"]
        .into_iter()
        .enumerate()
    {
        let answer = world.play("once", play);
        assert_eq!(answer.status, 502, "{play}");
        assert_eq!(answer.header("retry-after"), None, "{play} may have run");
        assert_eq!(answer.header("x-response-signature"), None, "{play}");
        assert_eq!(world.received(), number + 1, "{play} was sent once");
    }
}

#[test]
fn safe_goes_elsewhere() {
    let world = World::start("safe_goes_elsewhere");
    for play in ["first=close", "first=short", "first=foreign", "first=fail"] {
        for round in 0..4 {
            let answer = world.play("safe", play);
            assert_eq!(
                (answer.status, answer.body.as_str()),
                (200, "done"),
                "{play} {round}"
            );
        }
    }
    let answer = world.play("safe", "fail");
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (500, "failed"),
        "the engine's own"
    );
}

#[test]
fn surplus_answer() {
    let world = World::start("surplus_answer");
    for _ in 0..4 {
        assert_eq!(world.play("once", "surplus").body, "right");
        assert_eq!(world.play("once", "answer").body, "done");
    }
}

#[test]
fn stream_whole() {
    let world = World::start("stream_whole");
    let answer = world.play("stream", "events");
    assert!(answer.whole);
    let events: Vec<_> = (1..7).map(|n| format!("id: {n}\ndata: e{n}\n\n")).collect();
    assert_eq!(answer.body, events.concat());
}

#[test]
fn stream_cut() {
    let world = World::start("stream_cut");
    let answer = world.play("stream", "break");
    assert_eq!(answer.status, 200);
    assert!(!answer.whole, "it must not look whole");
    assert_eq!(world.received(), 1);
}

#[test]
fn stream_taken_up() {
    let world = World::start("stream_taken_up");
    let answer = world.play("resume", "break");
    assert!(answer.whole);
    let events: Vec<_> = (1..7).map(|n| format!("id: {n}\ndata: e{n}\n\n")).collect();
    assert_eq!(answer.body, events.concat(), "no event is lost or doubled");
    assert_eq!(world.received(), 2);
}

#[test]
fn caller_leaves() {
    let world = World::start("caller_leaves");
    let address = world.hosts.callers(0);
    let head = "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: gone\r\nX-Play: hang\r\n\
                X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann\r\nContent-Length: 0\r\n\r\n";
    let mut stream = std::net::TcpStream::connect(address).expect("a connection");
    std::io::Write::write_all(&mut stream, head.as_bytes()).expect("written");
    wait("it reaches an engine", || world.received() == 1);
    drop(stream);
    wait("the engine is left", || {
        world
            .engines
            .iter()
            .any(|engine| engine.abandoned_count() == 1)
    });
}

#[test]
fn time_is_up() {
    let world = World::start("time_is_up");
    let answer = world.play("brief", "hang");
    assert_eq!(answer.status, 504);
    assert_eq!(answer.header("retry-after"), None, "it may have run");
}

#[test]
fn refused_heads() {
    let world = World::start("refused_heads");
    let status = |line: &str, more: &str| {
        let head = format!("{line} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a{more}");
        send_request(world.hosts.callers(0), &head, "").status
    };
    let ann = "\r\nAuthorization: Bearer key-ann";
    assert_eq!(status("GET /safe/", ""), 401);
    assert_eq!(status("GET /safe/", "\r\nAuthorization: Bearer other"), 401);
    assert_eq!(status("GET /nothing/", ann), 404);
    assert_eq!(
        status("GET /safe/", &format!("{ann}\r\nX-Deadline-Ms: soon")),
        400
    );
    assert_eq!(
        status("GET /safe/", &format!("{ann}\r\nX-Token-Counts: 1")),
        400
    );
    assert_eq!(status("GET /open/", ""), 200);
    assert_eq!(status("GET /safe/", ann), 200);
    assert_eq!(world.received(), 2);
    let long = "x".repeat(100_001);
    let head = format!("POST /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a{ann}");
    assert_eq!(
        send_request(world.hosts.callers(0), &head, &long).status,
        413
    );
}

#[test]
fn allowance_used_up() {
    let world = World::start("allowance_used_up");
    let head = "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
                Authorization: Bearer key-ben";
    // Its 250 tokens and a little, at 100 a request.
    let statuses: Vec<_> = (0..8)
        .map(|_| send_request(world.hosts.callers(0), head, "").status)
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!((2..=3).contains(&served), "{statuses:?}");
    let answer = send_request(world.hosts.callers(0), head, "");
    assert_eq!(answer.status, 429);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(
        world.play("safe", "answer").status,
        200,
        "others are not touched"
    );
}

/// Counts that add up beyond any number must not come out as none.
#[test]
fn counts_beyond_numbers() {
    let world = World::start("counts_beyond_numbers");
    let head = "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
                X-Token-Counts: 18446744073709551615,2\r\nAuthorization: Bearer key-ben";
    let statuses: Vec<_> = (0..4)
        .map(|_| send_request(world.hosts.callers(0), head, "").status)
        .collect();
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert!(refused >= 3, "{statuses:?}");
}

#[test]
fn drained_takes_none() {
    let world = World::start("drained_takes_none");
    world.hosts.drain(&world.engines[0]);
    let taken = |engine: &Engine| engine.received().len();
    wait("the first engine is left alone at all hosts", || {
        let before = taken(&world.engines[0]);
        (0..12).for_each(|_| drop(world.play("safe", "answer")));
        taken(&world.engines[0]) == before
    });
}
