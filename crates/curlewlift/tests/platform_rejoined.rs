//! All hosts are killed at once and return, so that the records of streams are lost. A stream that its caller takes up then must
//! not go on at another version than the one that began it, whatever the list of servers shows by then.

mod platform;

use std::time::Duration;
use std::time::Instant;

use platform::Answer;
use platform::ThreeHosts;
use platform::send_request;
use platform::send_until;
use platform::wait;

/// Two servers of each of two versions.
const TWO_VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];

/// Number of hosts without a disk, beside three with one.
const WITHOUT_DISK: u8 = 2;

/// Number of streams that break off when the hosts are killed.
const STREAMS: usize = 24;

/// How long callers take their streams up again after the return of the hosts.
const TAKE_UP_TIME: Duration = Duration::from_secs(4);

/// How long the list of servers is given to reach the hosts.
const LIST_TIME: Duration = Duration::from_millis(300);

/// A stream of which its caller has the first event.
struct Begun {
    number: usize,
    /// The request that brought the first event.
    id: String,
    /// What its requests have in their bodies, so that they can be found at the servers.
    body: String,
    version: &'static str,
}

/// The versions of the servers that received requests with `body`, in order.
fn versions(world: &ThreeHosts, body: &str) -> Vec<&'static str> {
    let engines = world.engines.iter();
    let received = engines.flat_map(|engine| {
        let requests = engine.received().into_iter();
        let own = requests.filter(|request| request.body == body);
        own.map(move |request| (request.at, engine.version))
    });
    let mut received: Vec<_> = received.collect();
    received.sort_unstable();
    received.into_iter().map(|(_, version)| version).collect()
}

fn head(id: &str, fields: &str) -> String {
    format!(
        "POST /resume/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Play: ends close\
         {fields}\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer key-ann"
    )
}

/// Begins streams at all hosts, whose callers leave after their first events. A host may reject them until it has the list.
fn begin_streams(world: &ThreeHosts) -> Vec<Begun> {
    let hosts = world.hosts.indices().len();
    let begin = |number: usize| {
        let callers = world.hosts.callers(number % hosts);
        let mut attempt = 0;
        let (mut id, mut body) = (String::new(), String::new());
        wait("a stream begins", || {
            attempt += 1;
            id = format!("s{number}-begun-{attempt}");
            body = format!("question-{number}-{attempt}-");
            send_until(callers, &head(&id, " lingers"), &body, "data: e1\n\n")
        });
        let versions = versions(world, &body);
        let version = *versions.last().expect("a server has begun it");
        Begun {
            number,
            id,
            body,
            version,
        }
    };
    (0..STREAMS).map(begin).collect()
}

/// Takes streams up at all hosts as soon as these listen; half of the callers don't name the stream. Returns the responses.
fn take_up(world: &ThreeHosts, streams: &[Begun]) -> Vec<(usize, Answer)> {
    let until = Instant::now() + TAKE_UP_TIME;
    let hosts = world.hosts.indices().len();
    std::thread::scope(|scope| {
        let callers = streams.iter().map(|stream| {
            scope.spawn(move || {
                let mut answers = Vec::new();
                for attempt in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let callers = world.hosts.callers((stream.number + attempt) % hosts);
                    let resumes = format!("\r\nResumes: {}", stream.id);
                    let resumes = if stream.number % 2 == 0 { "" } else { &resumes };
                    let fields = format!("{resumes}\r\nLast-Event-Id: 1");
                    let id = format!("s{}-{attempt}", stream.number);
                    if std::net::TcpStream::connect(callers).is_ok() {
                        let answer = send_request(callers, &head(&id, &fields), &stream.body);
                        answers.push((stream.number, answer));
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
                answers
            })
        });
        let callers: Vec<_> = callers.collect();
        let callers = callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("no panic"))
            .collect()
    })
}

/// Kills all hosts, changes the list of servers, and starts the hosts again.
fn restart_all(world: &mut ThreeHosts, change_list: impl FnOnce(&ThreeHosts)) {
    world
        .hosts
        .indices()
        .for_each(|host| world.hosts.kill(host));
    change_list(world);
    let hosts = world.hosts.indices();
    hosts.for_each(|host| world.hosts.boot(host, false));
}

/// Streams begin, all hosts are killed and return, and the callers take the streams up. No stream may have requests at another
/// version than its own, and a rejection must say when to return. Returns how many requests were answered with 200.
fn check(
    name: &str,
    served: &[&'static str],
    before: impl FnOnce(&ThreeHosts),
    just_before: impl FnOnce(&ThreeHosts),
    meanwhile: impl FnOnce(&ThreeHosts),
) -> usize {
    let mut world = ThreeHosts::start_more_versions(name, served, WITHOUT_DISK);
    before(&world);
    std::thread::sleep(LIST_TIME);
    let streams = begin_streams(&world);
    just_before(&world);
    restart_all(&mut world, meanwhile);
    let answers = take_up(&world, &streams);
    for stream in &streams {
        let versions = versions(&world, &stream.body);
        let is_own = versions.iter().all(|version| *version == stream.version);
        assert!(
            is_own,
            "{} began at {}: {versions:?}",
            stream.number, stream.version
        );
    }
    let rejected = answers.iter().filter(|(_, answer)| answer.status == 503);
    for (number, answer) in rejected {
        let when = answer.header("retry-after");
        assert!(when.is_some(), "{number}: {}", answer.body);
    }
    answers
        .iter()
        .filter(|(_, answer)| answer.status == 200)
        .count()
}

/// Makes the list name servers of these versions only.
fn list(versions: &'static [&'static str]) -> impl Fn(&ThreeHosts) {
    |world| world.list_engines(|engine| versions.contains(&engine.version))
}

/// Changes nothing.
fn keep(_: &ThreeHosts) {}

#[test]
fn both_serve() {
    check("rejoined_both", &TWO_VERSIONS, keep, keep, keep);
}

#[test]
fn old_left_just_before() {
    check(
        "rejoined_left_before",
        &TWO_VERSIONS,
        keep,
        list(&["v2"]),
        keep,
    );
}

#[test]
fn old_left_meanwhile() {
    check(
        "rejoined_left_meanwhile",
        &TWO_VERSIONS,
        keep,
        keep,
        list(&["v2"]),
    );
}

/// The new version was never seen before the loss, and is the only one after it.
#[test]
fn replaced_meanwhile() {
    check(
        "rejoined_replaced",
        &TWO_VERSIONS,
        list(&["v1"]),
        keep,
        list(&["v2"]),
    );
}

/// The list shows the old version again that had left before the streams began.
#[test]
fn older_list() {
    let before = |world: &ThreeHosts| {
        std::thread::sleep(LIST_TIME);
        list(&["v2"])(world);
    };
    check(
        "rejoined_older_list",
        &TWO_VERSIONS,
        before,
        keep,
        list(&["v1"]),
    );
}

/// With a single version the streams go on, so the other checks are not passed by rejections of everything.
#[test]
fn one_version() {
    let went_on = check("rejoined_one_version", &["v1"; 3], keep, keep, keep);
    assert!(went_on > 0, "no stream goes on");
}
