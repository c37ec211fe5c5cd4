//! A stream continues only at the version of a server's software that began it.

mod platform;

use std::collections::BTreeSet;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use curlewlift::LinkFault;
use platform::Answer;
use platform::Engine;
use platform::StreamEnd;
use platform::ThreeHosts;
use platform::send_request;
use platform::send_until;
use platform::wait;

/// How a stream ends that breaks off inside its second event, and breaks off again when it is continued under the same id.
const BROKEN: &str = "close in-data twice";

/// What callers receive of it.
const FIRST_EVENT: &str = "id: 1\ndata: e1\n\n";

/// The host where a stream begins, if its hosts are lost.
const ORIGIN: usize = 3;

/// How long a gateway may take to receive copies of records: its poll waits no longer.
const COPY_TIME: Duration = Duration::from_millis(600);

/// Two engines of each of two versions.
const TWO_VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];

/// A stream of which a caller has the first event: the body of its requests, and their ids.
struct Begun {
    body: String,
    ids: Vec<String>,
}

/// A stream that a caller receives by one request or several.
struct Caller<'a> {
    world: &'a ThreeHosts,
    /// The body of each request, so that all of them are the same request.
    body: String,
    /// The ids of its requests.
    ids: Vec<String>,
    /// What it has received.
    received: String,
}

impl<'a> Caller<'a> {
    fn new(world: &'a ThreeHosts) -> Self {
        Self {
            world,
            body: unique("question"),
            ids: Vec::new(),
            received: String::new(),
        }
    }

    /// Forgets the hosts, so that they can be changed meanwhile.
    fn into_stream(self) -> Begun {
        Begun {
            body: self.body,
            ids: self.ids,
        }
    }

    /// The caller of a stream whose first event it has received.
    fn of(world: &'a ThreeHosts, stream: &Begun) -> Self {
        Self {
            world,
            body: stream.body.clone(),
            ids: stream.ids.clone(),
            received: FIRST_EVENT.to_owned(),
        }
    }

    /// Begins a stream and leaves after its first event. Without a hub, a host may reject it for a while.
    fn begun(world: &'a ThreeHosts, host: usize) -> Self {
        let mut caller = Self::new(world);
        wait("a stream begins", || {
            let head = caller.head("/resume/", "close lingers", "");
            send_until(
                world.hosts.callers(host),
                &head,
                &caller.body,
                "data: e1\n\n",
            ) || {
                caller = Self::new(world);
                false
            }
        });
        FIRST_EVENT.clone_into(&mut caller.received);
        caller
    }

    /// Requests a stream that ends as `end` says.
    fn begin(&mut self, host: usize, end: &str) -> Answer {
        self.send(host, "/resume/", end, "")
    }

    /// The header fields that name the stream and its first event.
    fn named(&self) -> String {
        format!("Resumes: {}\r\nLast-Event-Id: 1\r\n", self.ids[0])
    }

    /// Takes the stream up after its first event.
    fn take_up(&mut self, host: usize, end: &str) -> Answer {
        self.send(host, "/resume/", end, &self.named())
    }

    /// Takes the stream up, again while it is rejected, and asserts that it goes on at its version.
    fn finish(&mut self, host: usize) {
        wait("the stream goes on", || {
            let answer = self.take_up(host, "close");
            println!("{} {}", answer.status, answer.body);
            answer.status == 200
        });
        assert_eq!(self.received, whole());
        self.assert_one_version();
    }

    fn send(&mut self, host: usize, path: &str, end: &str, fields: &str) -> Answer {
        let head = self.head(path, end, fields);
        let answer = send_request(self.world.hosts.callers(host), &head, &self.body);
        if answer.status == 200 {
            self.received.push_str(&answer.body);
        }
        answer
    }

    /// The head of its next request.
    fn head(&mut self, path: &str, end: &str, fields: &str) -> String {
        let id = unique("r");
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
             X-Play: ends {end}\r\n{fields}X-Deadline-Ms: 20000\r\nAuthorization: Bearer key-ann"
        );
        self.ids.push(id);
        head
    }

    /// The versions of the engines that received its requests, in order.
    fn versions(&self) -> Vec<&'static str> {
        let engines = self.world.engines.iter();
        let received = engines.flat_map(|engine| {
            let requests = engine.received().into_iter();
            let own = requests.filter(|request| request.body == self.body);
            own.map(move |request| (request.at, engine.version))
        });
        let mut received: Vec<_> = received.collect();
        received.sort_unstable();
        received.into_iter().map(|(_, version)| version).collect()
    }

    /// Asserts that all of its requests went to engines of one version.
    fn assert_one_version(&self) {
        let mut versions = self.versions();
        versions.dedup();
        assert!(versions.len() <= 1, "{versions:?}");
    }
}

/// A text that no other request has.
fn unique(prefix: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    format!("{prefix}-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn whole() -> String {
    StreamEnd::parse("close").expected(false)
}

/// A stream that breaks off is not continued at another version within the same response.
#[test]
fn no_mixed_response() {
    let world = ThreeHosts::start_versions("no_mixed_response", &["v1", "v2"]);
    let mut caller = Caller::new(&world);
    let answer = caller.begin(0, "close in-data");
    assert!(!answer.whole, "{}", answer.body);
    assert_eq!(caller.received, FIRST_EVENT);
    caller.assert_one_version();
}

/// A stream that its caller takes up at another host goes on at the version that began it.
#[test]
fn no_mixed_retries() {
    let versions = ["v1", "v1", "v1", "v2", "v2", "v2"];
    for number in 0..4 {
        let world = ThreeHosts::start_versions(&format!("no_mixed_retries_{number}"), &versions);
        let mut caller = Caller::new(&world);
        assert!(!caller.begin(0, BROKEN).whole);
        let rest = caller.take_up(1, "close");
        assert!(rest.whole, "{} {}", rest.status, rest.body);
        assert_eq!(caller.received, whole());
        caller.assert_one_version();
    }
}

/// Waits until streams have begun at all versions. Slow streams at the same time go to different engines.
fn wait_for_versions(world: &ThreeHosts, host: usize, versions: &[&'static str]) {
    let mut seen = BTreeSet::new();
    wait("streams begin at all versions", || {
        let begun: Vec<_> = std::thread::scope(|scope| {
            let callers = versions.iter().flat_map(|_| 0..2).map(|_| {
                scope.spawn(|| {
                    let mut caller = Caller::new(world);
                    caller.begin(host, "close lingers");
                    caller.versions()
                })
            });
            let callers: Vec<_> = callers.collect();
            let callers = callers.into_iter();
            callers
                .flat_map(|caller| caller.join().expect("no panic"))
                .collect()
        });
        seen.extend(begun);
        versions.iter().all(|version| seen.contains(version))
    });
}

/// Of three versions side by side, each stream goes on at its own, at any host.
#[test]
fn three_versions() {
    let versions = ["v1", "v2", "v3"];
    let all = [versions, versions, versions].concat();
    let world = ThreeHosts::start_versions("three_versions", &all);
    wait_for_versions(&world, 0, &versions);
    std::thread::scope(|scope| {
        for number in 0..6 {
            let world = &world;
            scope.spawn(move || Caller::begun(world, number % 3).finish((number + 1) % 3));
        }
    });
}

/// The version of the first event counts, not that of a server that broke off before it.
#[test]
fn first_event_counts() {
    let world = ThreeHosts::start_versions("first_event_counts", &["v1", "v2"]);
    wait_for_versions(&world, 0, &["v1", "v2"]);
    let mut caller = Caller::new(&world);
    let answer = caller.begin(0, "close in-data first");
    assert!(answer.whole, "{} {}", answer.status, answer.body);
    let begun = caller.versions();
    assert_eq!(begun.len(), 2);
    assert_ne!(begun[0], begun[1], "the first engine was tried");
    wait("the stream goes on", || {
        caller.take_up(1, "close").status == 200
    });
    assert_eq!(caller.versions().last(), Some(&begun[1]));
}

/// What happens to hosts between the break and the take-up. Hosts 3 and 4 have no disk; the stream begins at host 3.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Nothing,
    OriginKilled,
    OriginSuspended,
    OriginStopped,
    /// All hosts with a disk, among them the hub's.
    ControlKilled,
    /// The same, after the host where the stream began.
    OriginAndControlKilled,
}

impl Loss {
    fn strike(self, world: &mut ThreeHosts) {
        // Copies reach other hosts with the next replies of the hub.
        std::thread::sleep(COPY_TIME);
        match self {
            Self::Nothing => {}
            Self::OriginKilled => world.hosts.kill(ORIGIN),
            Self::OriginSuspended => world.hosts.suspend(ORIGIN, Duration::from_secs(30)),
            Self::OriginStopped => drop(world.hosts.stop(ORIGIN)),
            Self::ControlKilled => restart_control(world),
            Self::OriginAndControlKilled => {
                world.hosts.kill(ORIGIN);
                restart_control(world);
            }
        }
    }
}

/// Kills all hosts with a disk, and starts them again.
fn restart_control(world: &mut ThreeHosts) {
    for host in 0..3 {
        world.hosts.kill(host);
    }
    for host in 0..3 {
        world.hosts.boot(host, false);
    }
}

/// A stream goes on at its version wherever a host that knows it is left.
#[test]
fn hosts_lost() {
    for loss in [
        Loss::Nothing,
        Loss::OriginKilled,
        Loss::OriginSuspended,
        Loss::OriginStopped,
        Loss::ControlKilled,
        Loss::OriginAndControlKilled,
    ] {
        let name = format!("hosts_lost_{loss:?}");
        let mut world = ThreeHosts::start_more_versions(&name, &TWO_VERSIONS, 3);
        wait_for_versions(&world, ORIGIN, &["v1", "v2"]);
        let begun = Caller::begun(&world, ORIGIN);
        let stream = begun.into_stream();
        loss.strike(&mut world);
        Caller::of(&world, &stream).finish(4);
    }
}

/// A stream that breaks off twice, each time with its host, goes on at its version.
#[test]
fn lost_twice() {
    let mut world = ThreeHosts::start_more_versions("lost_twice", &TWO_VERSIONS, 2);
    wait_for_versions(&world, ORIGIN, &["v1", "v2"]);
    let begun = Caller::begun(&world, ORIGIN);
    let stream = begun.into_stream();
    for host in [ORIGIN, 4] {
        std::thread::sleep(COPY_TIME);
        world.hosts.kill(host);
        Caller::of(&world, &stream).finish(if host == ORIGIN { 4 } else { 0 });
    }
}

/// Through another host, too, and where the gateway of a lost hub chooses the server.
#[test]
fn other_ways() {
    let mut world = ThreeHosts::start_versions("other_ways", &TWO_VERSIONS);
    wait_for_versions(&world, 0, &["v1", "v2"]);
    world.set_link_faults(&[0], Some(LinkFault::Refuses));
    for _ in 0..2 {
        Caller::begun(&world, 0).finish(0);
        Caller::begun(&world, 1).finish(0);
    }
    world.set_link_faults(&[0], None);
    let begun = Caller::begun(&world, 2);
    let stream = begun.into_stream();
    world.hosts.kill(0);
    world.hosts.kill(1);
    Caller::of(&world, &stream).finish(2);
}

/// Header fields that do not tell which version began the stream.
fn unnamed(caller: &Caller, other: &Caller) -> Vec<(&'static str, String)> {
    let id = &caller.ids[0];
    let with_event = |fields: String| format!("{fields}Last-Event-Id: 1\r\n");
    vec![
        ("/resume/", with_event(String::new())),
        ("/stream/", with_event(String::new())),
        ("/resume/", with_event("Resumes:\r\n".to_owned())),
        ("/resume/", with_event("Resumes: unknown\r\n".to_owned())),
        ("/resume/", "Resumes: unknown\r\n".to_owned()),
        (
            "/resume/",
            with_event(format!("Resumes: {}\r\n", "x".repeat(4_000))),
        ),
        (
            "/resume/",
            with_event(format!("Resumes: {id}\r\nResumes: {id}\r\n")),
        ),
        (
            "/resume/",
            with_event(format!("Resumes: {}\r\n", other.ids[0])),
        ),
        ("/stream/", with_event(format!("Resumes: {id}\r\n"))),
    ]
}

/// While two versions serve, a stream that its caller does not name, or that is another one's, is not continued on a guess;
/// with one version, it is.
#[test]
fn unnamed_streams() {
    for (versions, is_rejected) in [(&TWO_VERSIONS[..], true), (&["v1", "v1", "v1"], false)] {
        let name = format!("unnamed_streams_{is_rejected}");
        let world = ThreeHosts::start_versions(&name, versions);
        wait_for_versions(&world, 0, versions);
        let other = Caller::begun(&world, 0);
        let mut caller = Caller::begun(&world, 0);
        for host in [0, 1] {
            for (path, fields) in unnamed(&caller, &other) {
                let before = caller.versions().len();
                let answer = caller.send(host, path, "close", &fields);
                let what = format!("{path} {fields} {}", answer.body);
                if is_rejected {
                    assert_eq!(answer.status, 503, "{what}");
                    assert!(answer.body.contains("3011"), "{what}");
                    assert_eq!(caller.versions().len(), before, "{what}");
                } else {
                    assert_eq!((answer.status, answer.whole), (200, true), "{what}");
                }
            }
        }
        FIRST_EVENT.clone_into(&mut caller.received);
        caller.finish(1);
    }
}

/// A request that names a stream but no event goes on at the version of the stream, too.
#[test]
fn no_last_event() {
    let world = ThreeHosts::start_versions("no_last_event", &TWO_VERSIONS);
    wait_for_versions(&world, 0, &["v1", "v2"]);
    let mut caller = Caller::begun(&world, 0);
    let fields = format!("Resumes: {}\r\n", caller.ids[0]);
    let answer = caller.send(1, "/resume/", "close", &fields);
    assert_eq!((answer.status, answer.body), (200, whole()));
    caller.assert_one_version();
}

/// Streams that are taken up at another host as soon as their first events are there go on: their records are on their way.
#[test]
fn taken_up_at_once() {
    let versions = [TWO_VERSIONS; 4].concat();
    let world = ThreeHosts::start_versions("taken_up_at_once", &versions);
    wait_for_versions(&world, 0, &["v1", "v2"]);
    std::thread::scope(|scope| {
        for number in 0..12 {
            let world = &world;
            scope.spawn(move || {
                for _ in 0..4 {
                    let mut caller = Caller::begun(world, number % 3);
                    let rest = caller.take_up((number + 1) % 3, "close");
                    assert!(!rest.body.contains("3011"), "{}", rest.body);
                    caller.assert_one_version();
                }
            });
        }
    });
}

/// A stream whose version has no server left is rejected, and goes on once there is one again.
#[test]
fn version_gone() {
    let world = ThreeHosts::start_versions("version_gone", &TWO_VERSIONS);
    wait_for_versions(&world, 0, &["v1", "v2"]);
    let mut caller = Caller::begun(&world, 0);
    let version = caller.versions()[0];
    world.list_engines(|engine| engine.version != version);
    let mut answer = Answer::default();
    wait("the version has no server", || {
        answer = caller.take_up(1, "close");
        answer.body.contains("3012")
    });
    assert_eq!(answer.status, 503);
    caller.assert_one_version();
    world.list_engines(|_| true);
    FIRST_EVENT.clone_into(&mut caller.received);
    caller.finish(1);
}

/// A second version that appears after a stream broke off changes nothing for it.
#[test]
fn second_version_appears() {
    let mut world = ThreeHosts::start_versions("second_version_appears", &["v1", "v1"]);
    world.engines.push(Engine::start_version("i-3", "v2"));
    let mut caller = Caller::begun(&world, 0);
    let unnamed = "Last-Event-Id: 1\r\n";
    let answer = Caller::new(&world).send(1, "/resume/", "close", unnamed);
    assert_eq!(answer.status, 200, "{}", answer.body);
    world.list_engines(|_| true);
    wait_for_versions(&world, 1, &["v1", "v2"]);
    let answer = Caller::new(&world).send(1, "/resume/", "close", unnamed);
    assert!(
        answer.body.contains("3011"),
        "{} {}",
        answer.status,
        answer.body
    );
    caller.finish(1);
    assert_eq!(caller.versions().last(), Some(&"v1"));
}
