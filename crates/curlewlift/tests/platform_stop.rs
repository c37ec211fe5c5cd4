//! A planned stop of a gateway: nothing that it begins after the first seconds is cut off by its end, what it does not begin is
//! refused as not run, and no host names it to callers any more.

mod platform;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use curlewlift::LinkFault;
use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::KeptConnection;
use platform::ThreeHosts;
use platform::document;
use platform::wait;
use serde_json::json;

/// The host that stops: the first one without a disk.
const STOPPING: usize = 3;

/// Requests that are sent later than this after the order to stop must not be cut off.
const CUT_TOLERANCE: Duration = Duration::from_secs(3);

/// The time between two requests.
const SEND_INTERVAL: Duration = Duration::from_millis(50);

/// How long requests are sent: until the process would be killed.
const GRACE: Duration = Duration::from_secs(8);

/// A deadline longer than the grace period, as that of a long stream.
const LONG_DEADLINE_MS: u32 = 15_000;

/// A time after the order to stop at which short streams are still begun, but not after they have waited for a server for as
/// long as they may.
const BEFORE_LAST_BEGIN: Duration = Duration::from_millis(2_200);

/// What callers send in turn: the path, what the engine does, and the deadline in milliseconds.
const REQUESTS: [(&str, &str, u32); 5] = [
    ("/stream/", "lasts 200", LONG_DEADLINE_MS),
    ("/once/", "answer", 1_000),
    ("/resume/", "lasts 300", LONG_DEADLINE_MS),
    ("/safe/", "work", 2_000),
    ("/resume/", "lasts 400", 5_000),
];

/// What callers send shortly after the time in which requests may be cut off.
const LATE_STREAMS: [(&str, &str, u32); 2] = [
    ("/stream/", "lasts 5000", LONG_DEADLINE_MS),
    ("/resume/", "lasts 5000", LONG_DEADLINE_MS),
];

/// For how long they send that.
const LATE_STREAMS_TIME: Duration = Duration::from_millis(300);

/// A request that was sent while the gateway stopped.
struct Sent {
    id: String,
    /// When it was sent after the order to stop.
    after: Duration,
    answer: Answer,
}

/// Sends a request over a connection.
fn send(
    connection: &mut KeptConnection,
    address: SocketAddr,
    id: &str,
    (path, behavior, deadline): (&str, &str, u32),
) -> Answer {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Play: {behavior}\r\n\
         X-Deadline-Ms: {deadline}\r\nAuthorization: Bearer key-ann"
    );
    connection.send(address, &head, "question")
}

/// The request to send as the `number`th, some time after the order to stop.
fn request_during_stop(number: usize, after: Duration) -> (&'static str, &'static str, u32) {
    let is_late = (CUT_TOLERANCE..CUT_TOLERANCE + LATE_STREAMS_TIME).contains(&after);
    let requests = if is_late {
        &LATE_STREAMS[..]
    } else {
        &REQUESTS
    };
    requests[number / 2 % requests.len()]
}

/// Sends a request at every interval until the grace period ends, in turn over a new connection and over one that was opened
/// before the stop; `stop` orders it, and `request` says what to send.
fn send_during_stop(
    callers: SocketAddr,
    request: impl Fn(usize, Duration) -> (&'static str, &'static str, u32) + Sync,
    stop: impl FnOnce(),
) -> Vec<Sent> {
    let count = usize::try_from(GRACE.as_millis() / SEND_INTERVAL.as_millis()).expect("a number");
    let connections: Vec<_> = (0..count)
        .map(|number| {
            let mut connection = KeptConnection::default();
            if number % 2 == 0 {
                send(
                    &mut connection,
                    callers,
                    &format!("before-{number}"),
                    REQUESTS[1],
                );
            }
            connection
        })
        .collect();
    stop();
    let ordered_at = Instant::now();
    let request = &request;
    thread::scope(|scope| {
        let requests = connections.into_iter().enumerate();
        let requests = requests.map(|(number, mut connection)| {
            scope.spawn(move || {
                let at = ordered_at + SEND_INTERVAL * u32::try_from(number).expect("fits");
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let id = format!("during-{number}");
                let after = ordered_at.elapsed();
                let answer = send(&mut connection, callers, &id, request(number, after));
                Sent { id, after, answer }
            })
        });
        let requests: Vec<_> = requests.collect();
        let sent = requests.into_iter().map(thread::ScopedJoinHandle::join);
        sent.map(|sent| sent.expect("the caller does not panic"))
            .collect()
    })
}

/// Checks each request: if an engine received it, its response is complete unless it was sent early; otherwise it was refused
/// as not run, or its connection was not accepted.
fn check(sent: &[Sent], engines: &[Engine]) {
    let received: Vec<_> = engines.iter().flat_map(Engine::received).collect();
    let mut counts = [0; 3];
    for Sent { id, after, answer } in sent {
        let mut runs = received.iter();
        let has_run = runs.any(|run| run.header("x-attempt-id") == Some(id.as_str()));
        let what = format!("{id} after {after:?}: {answer:?}");
        if has_run {
            assert!(answer.whole || *after <= CUT_TOLERANCE, "cut off: {what}");
            counts[0] += 1;
        } else if answer.status == 0 {
            counts[1] += 1;
        } else {
            assert_eq!(answer.status, 503, "{what}");
            assert!(answer.header("retry-after").is_some(), "{what}");
            counts[2] += 1;
        }
    }
    println!("run, not accepted, refused: {counts:?}");
    assert!(counts[0] > 0 && counts[2] > 0, "{counts:?}");
}

/// Starts three hosts with a disk and two more, where callers may wait longer for streams than a stop takes.
fn start(name: &str) -> ThreeHosts {
    let small = ThreeHosts::start_more(name, 2);
    let mut document = document(8);
    for route in 2..4 {
        document["routes"][route]["timeout_ms"] = json!(LONG_DEADLINE_MS);
        document["routes"][route]["public"] = json!(true);
    }
    small.hosts.configure(&document.to_string());
    small
}

/// Stops a host, while requests are sent to it, and all other hosts in `named_by` are asked for addresses.
fn stop_under_load(small: &mut ThreeHosts, others: &[usize]) {
    let callers = small.hosts.callers(STOPPING);
    let own = small.hosts.directory(STOPPING);
    let directories: Vec<_> = others
        .iter()
        .map(|host| small.hosts.directory(*host))
        .collect();
    let naming = AtomicUsize::new(usize::MAX);
    let mut process = None;
    let sent = thread::scope(|scope| {
        let naming = &naming;
        let watch = scope.spawn(move || {
            while naming.load(Ordering::SeqCst) > 0 {
                let named = directories.iter();
                let named =
                    named.filter(|directory| Hosts::is_named(**directory, callers) != Some(false));
                naming.store(named.count(), Ordering::SeqCst);
                thread::sleep(SEND_INTERVAL);
                if Hosts::is_named(own, callers).is_none() {
                    break;
                }
            }
            assert_ne!(Hosts::is_named(own, callers), Some(true), "it names itself");
        });
        let sent = send_during_stop(callers, request_during_stop, || {
            process = Some(small.hosts.stop(STOPPING));
        });
        watch.join().expect("the watch does not panic");
        sent
    });
    let naming = naming.load(Ordering::SeqCst);
    assert_eq!(naming, 0, "hosts that named it until it had ended");
    check(&sent, &small.engines);
    let process = process.expect("it was stopped");
    process.wait().expect("the host stops");
}

/// A gateway that stops while a hub leads cuts off no late stream, and is named again once it is back.
#[test]
fn with_hub() {
    let mut small = start("with_hub");
    stop_under_load(&mut small, &[0, 1, 2, 4]);
    small.hosts.boot(STOPPING, false);
    let callers = small.hosts.callers(STOPPING);
    wait("the next process is named", || {
        [0, 1, 2, 4]
            .iter()
            .all(|host| Hosts::is_named(small.hosts.directory(*host), callers) == Some(true))
    });
}

/// A gateway that stops after the hub is gone tells the others itself: they named it until a next hub knew, and it took streams
/// for as long as usual and cut them off.
#[test]
fn without_hub() {
    let mut small = start("without_hub");
    for host in [0, 1] {
        small.hosts.kill(host);
    }
    stop_under_load(&mut small, &[2, 4]);
}

/// A request that waits for a server is refused once the gateway could not finish it, before its wait is over.
#[test]
fn refused_in_queue() {
    let mut small = start("refused_in_queue");
    let callers = small.hosts.callers(STOPPING);
    let send = |id: String, request| send(&mut KeptConnection::default(), callers, &id, request);
    small.list_engines(|engine| engine.id == "i-1");
    let others = || small.engines[1].received().len() + small.engines[2].received().len();
    // The gateway learns meanwhile that streams are short.
    wait("only the first engine is used", || {
        let before = others();
        let is_whole = (0..6).all(|number| send(format!("short-{number}"), REQUESTS[0]).whole);
        is_whole && others() == before
    });
    let received = small.count_received();
    thread::scope(|scope| {
        let long = (0..8)
            .map(|number| scope.spawn(move || send(format!("long-{number}"), LATE_STREAMS[0])));
        let _long: Vec<_> = long.collect();
        wait("the engine is busy", || {
            small.count_received() >= received + 5
        });
        let process = small.hosts.stop(STOPPING);
        thread::sleep(BEFORE_LAST_BEGIN);
        let waiting =
            (0..3).map(|number| scope.spawn(move || send(format!("waits-{number}"), REQUESTS[0])));
        let waiting: Vec<_> = waiting.collect();
        for answer in waiting {
            let answer = answer.join().expect("the caller does not panic");
            assert!(answer.body.contains("\"leaving\""), "{answer:?}");
        }
        drop(process);
    });
}

/// A request whose body comes slowly is judged by when it is complete: by then its host may no longer finish it.
#[test]
fn slow_body() {
    let mut small = start("slow_body");
    let callers = small.hosts.callers(STOPPING);
    let _process = small.hosts.stop(STOPPING);
    let head = format!(
        "POST /stream/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: slow-1\r\n\
         X-Play: lasts 200\r\nX-Deadline-Ms: {LONG_DEADLINE_MS}\r\nContent-Length: 8"
    );
    let mut stream = TcpStream::connect(callers).expect("the connection is accepted");
    let _ = write!(stream, "{head}\r\n\r\nques");
    thread::sleep(CUT_TOLERANCE);
    let _ = write!(stream, "tion");
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("\"leaving\""), "{response}");
    let received = small.engines.iter().flat_map(Engine::received);
    let runs = received.filter(|run| run.header("x-attempt-id") == Some("slow-1"));
    assert_eq!(runs.count(), 0);
}

/// A stream that has begun is resumed at another server also while its host stops, whatever it may still need.
#[test]
fn resumed_stream() {
    let mut small = start("resumed_stream");
    let callers = small.hosts.callers(STOPPING);
    let request = ("/resume/", "ends chunks in-data lingers", LONG_DEADLINE_MS);
    let before = small.count_received();
    let answer = thread::scope(|scope| {
        let stream =
            scope.spawn(move || send(&mut KeptConnection::default(), callers, "r-1", request));
        wait("the stream begins", || small.count_received() > before);
        // The stream breaks off after the stop has begun.
        let _process = small.hosts.stop(STOPPING);
        stream.join().expect("the caller does not panic")
    });
    assert!(answer.whole, "{answer:?}");
    assert!(answer.body.contains("e3"), "{answer:?}");
}

/// What callers send that may not be repeated: the engine takes up to two seconds, and callers wait longer.
const UNSAFE_REQUESTS: [(&str, &str, u32); 7] = [
    ("/once/", "after 2000", 2_500),
    ("/once/", "after 100", 2_500),
    ("/once/", "after 1500", 5_000),
    ("/once/", "after 700", 1_000),
    ("/once/", "after 1900", LONG_DEADLINE_MS),
    ("/once/", "after 300", LONG_DEADLINE_MS),
    ("/once/", "after 1000", 1_200),
];

/// Stops a host in calm, while requests that may not be repeated are sent to it until its grace is over. Whichever reached an
/// engine has a whole response: none of them is at work long enough to be excused.
fn stop_under_unsafe_requests(small: &mut ThreeHosts) {
    let callers = small.hosts.callers(STOPPING);
    let request = |number: usize, _| UNSAFE_REQUESTS[number / 2 % UNSAFE_REQUESTS.len()];
    let mut process = None;
    let sent = send_during_stop(callers, request, || {
        process = Some(small.hosts.stop(STOPPING));
    });
    check(&sent, &small.engines);
    let received = small.engines.iter().flat_map(Engine::received);
    let received: Vec<_> = received.collect();
    for Sent { id, after, answer } in &sent {
        let own = received
            .iter()
            .filter(|run| run.header("x-attempt-id") == Some(id.as_str()));
        let runs = own.count();
        assert!(runs <= 1, "{id} ran {runs} times");
        let is_answered = answer.whole && matches!(answer.status, 200 | 504);
        assert!(runs == 0 || is_answered, "{id} after {after:?}: {answer:?}");
    }
    let process = process.expect("it was stopped");
    process.wait().expect("the host stops");
}

/// Requests that may not be repeated and that come late in the grace were passed on and cut off at its end.
#[test]
fn late_unsafe() {
    stop_under_unsafe_requests(&mut start("late_unsafe"));
}

/// The same where the host reaches its servers through other hosts.
#[test]
fn late_unsafe_tunneled() {
    let mut small = start("late_unsafe_tunneled");
    small.set_link_faults(&[STOPPING], Some(LinkFault::Refuses));
    stop_under_unsafe_requests(&mut small);
}

/// The same where they wait for a server.
#[test]
fn late_unsafe_queued() {
    let mut small = start("late_unsafe_queued");
    small.list_engines(|engine| engine.id == "i-1");
    stop_under_unsafe_requests(&mut small);
}
