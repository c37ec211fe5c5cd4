//! A stand-in for an engine that behaves as the `X-Play` header of the request says.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use super::Flow;
use super::Silent;
use super::StreamEnd;
use super::send_straddling;

/// How long an engine stays down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(300);

/// After how long `close-late` closes the connection.
const LATE_CLOSE_DELAY: Duration = Duration::from_millis(800);

/// How long a sound engine may be silent: before the response of `pause`, and within that of `pause-events`.
const SILENCE: Duration = Duration::from_millis(1_400);

/// The size of the packets that engines receive, as on an Ethernet. The kernel holds more of a body in the large ones of a
/// loopback interface.
const PACKET_BYTES: u32 = 1_460;

/// How long `reads-late` doesn't read the body of its request.
const UNREAD_TIME: Duration = Duration::from_millis(4_500);

/// The time between two events of `lasts`.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// How long `work` takes.
const WORK_TIME: Duration = Duration::from_millis(60);

/// How long requests that were in flight when an engine asked for backoff or announced a limit may still arrive.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);

/// How long after an engine first announced a limit all hosts must know it.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// A request as the engine received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub at: Instant,
    /// When its response ended, or its caller had left.
    pub ended_at: Option<Instant>,
    /// The request line and the headers, as sent.
    pub head: String,
    pub body: String,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// The host that sent it: the part of the attempt id before the first hyphen.
    pub(crate) fn host(&self) -> &str {
        let id = self.header("x-attempt-id").unwrap_or_default();
        id.split('-').next().unwrap_or_default()
    }
}

/// A backoff period that an engine has asked a host for.
struct BackoffPeriod {
    host: String,
    from: Instant,
    length: Duration,
}

/// A running engine.
#[derive(Clone)]
pub(crate) struct Engine {
    pub id: String,
    /// The version of its software, as the server list names it.
    pub version: &'static str,
    /// The data hall that it is in.
    pub hall: &'static str,
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    abandoned: Arc<Mutex<u32>>,
    /// How it handles every request, whatever the `X-Play` header says; none if it follows the header.
    fixed_behavior: Option<&'static str>,
    /// How often a request has crashed it.
    crashes: Arc<AtomicU64>,
    /// Until when it is down.
    down_until: Arc<Mutex<Option<Instant>>>,
    /// Connections with a request in progress.
    connections: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    /// The backoff that it asks for while it rejects all requests; none while it serves.
    backoff: Arc<Mutex<Option<String>>>,
    backoff_periods: Arc<Mutex<Vec<BackoffPeriod>>>,
    /// Whether it says in its responses that it is draining.
    draining: Arc<AtomicBool>,
    /// The limit that it announces in its responses, in requests per second.
    limit: Arc<Mutex<Option<String>>>,
    /// How many requests a second it says that it may reject, and how many it runs at a time.
    rejection_limit: Arc<Mutex<Option<(u32, usize)>>>,
    /// When it rejected requests as it had no room.
    rejections: Arc<Mutex<Vec<Instant>>>,
    /// When it first announced its limit, in all and to each host.
    announcements: Arc<Mutex<LimitAnnouncements>>,
    /// The most bytes that were sent with the behavior `endless` until the connection was closed.
    endless_bytes: Arc<AtomicU64>,
    /// The requests with the behavior `work` that run, and the most that ran at the same time.
    working: Arc<Mutex<(usize, usize)>>,
}

/// When an engine first announced its limit, in all and to each host.
#[derive(Clone, Debug, Default)]
struct LimitAnnouncements {
    first_at: Option<Instant>,
    by_host: BTreeMap<String, Instant>,
}

/// A connection with a request in progress; removed from the engine when dropped.
struct Connection {
    engine: Engine,
    number: u64,
}

impl Connection {
    fn new(engine: &Engine, stream: &TcpStream) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let stream = stream.try_clone().expect("the stream can be cloned");
        let mut connections = engine.connections.lock().expect("the lock is not poisoned");
        connections.insert(number, stream);
        Self {
            engine: engine.clone(),
            number,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut connections = self
            .engine
            .connections
            .lock()
            .expect("the lock is not poisoned");
        connections.remove(&self.number);
    }
}

impl Engine {
    pub(crate) fn start(id: &str) -> Self {
        Self::start_version(id, "v1")
    }

    /// Starts an engine of another version than v1.
    pub(crate) fn start_version(id: &str, version: &'static str) -> Self {
        Self::start_with(id, version, None)
    }

    /// Starts an engine that handles every request in the same way.
    pub(crate) fn start_always(id: &str, behavior: &'static str) -> Self {
        Self::start_with(id, "v1", Some(behavior))
    }

    fn start_with(id: &str, version: &'static str, fixed_behavior: Option<&'static str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let packets = socket2::SockRef::from(&listener).set_tcp_mss(PACKET_BYTES);
        packets.expect("the option is valid");
        let engine = Self {
            id: id.to_owned(),
            version,
            hall: "hall-0",
            address: listener.local_addr().expect("the listener has an address"),
            received: Arc::default(),
            abandoned: Arc::default(),
            fixed_behavior,
            crashes: Arc::default(),
            down_until: Arc::default(),
            connections: Arc::default(),
            backoff: Arc::default(),
            backoff_periods: Arc::default(),
            draining: Arc::default(),
            limit: Arc::default(),
            rejection_limit: Arc::default(),
            rejections: Arc::default(),
            announcements: Arc::default(),
            endless_bytes: Arc::default(),
            working: Arc::default(),
        };
        let serving = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Returns the requests received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Makes it reject all requests and ask for that backoff, in seconds; with none it serves.
    pub(crate) fn set_backoff(&self, time: Option<&str>) {
        *self.backoff.lock().expect("the lock is not poisoned") = time.map(ToOwned::to_owned);
    }

    /// Makes it say in its responses that it is draining.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns how many hosts it has asked for backoff.
    pub(crate) fn count_backoff_hosts(&self) -> usize {
        let backoff_periods = self
            .backoff_periods
            .lock()
            .expect("the lock is not poisoned");
        let hosts: BTreeSet<_> = backoff_periods.iter().map(|period| &period.host).collect();
        hosts.len()
    }

    /// Returns the maximum number of requests that a host sent within a backoff period, except those in flight at its
    /// start.
    pub(crate) fn max_in_backoff(&self) -> usize {
        let requests = self.received();
        let backoff_periods = self
            .backoff_periods
            .lock()
            .expect("the lock is not poisoned");
        let within = |period: &BackoffPeriod| {
            let span = period.from + IN_FLIGHT_GRACE..period.from + period.length;
            let within = requests.iter().filter(|request| span.contains(&request.at));
            within
                .filter(|request| request.host() == period.host)
                .count()
        };
        backoff_periods.iter().map(within).max().unwrap_or(0)
    }

    /// Makes it announce a limit in its responses, in requests per second; with none it announces none.
    pub(crate) fn set_limit(&self, limit: Option<&str>) {
        *self.limit.lock().expect("the lock is not poisoned") = limit.map(ToOwned::to_owned);
        *self.announcements.lock().expect("the lock is not poisoned") =
            LimitAnnouncements::default();
    }

    /// Returns how many hosts it has announced its limit to.
    pub(crate) fn count_limit_hosts(&self) -> usize {
        self.announcements
            .lock()
            .expect("the lock is not poisoned")
            .by_host
            .len()
    }

    /// Returns the maximum number of requests within `window` from hosts that it had announced its limit to, except
    /// those in flight; counted from the time at which all hosts must know the limit.
    pub(crate) fn max_from_informed(&self, window: Duration) -> usize {
        let announcements = self
            .announcements
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        let Some(first_at) = announcements.first_at else {
            return 0;
        };
        let requests = self.received();
        let from_informed = |request: &&ReceivedRequest| {
            let informed_at = announcements.by_host.get(request.host());
            informed_at.is_some_and(|informed_at| request.at >= *informed_at + IN_FLIGHT_GRACE)
        };
        let arrivals: Vec<_> = requests
            .iter()
            .filter(from_informed)
            .map(|request| request.at)
            .collect();
        let window_ends = arrivals
            .iter()
            .filter(|last| **last >= first_at + LIMIT_GRACE);
        let within = |last: &Instant| {
            let within = arrivals
                .iter()
                .filter(|at| **at <= *last && **at + window > *last);
            within.count()
        };
        window_ends.map(within).max().unwrap_or(0)
    }

    /// Makes it say how many requests a second it may reject, and run no more than `room` at a time.
    pub(crate) fn set_rejection_limit(&self, limit: u32, room: usize) {
        let limit = Some((limit, room));
        *self
            .rejection_limit
            .lock()
            .expect("the lock is not poisoned") = limit;
    }

    /// Returns the most requests that it rejected within a second, from the time `from` on.
    pub(crate) fn max_rejections(&self, from: Instant) -> usize {
        let rejections = self.rejections.lock().expect("the lock is not poisoned");
        let rejections: Vec<_> = rejections.iter().filter(|at| **at >= from).collect();
        let within = |first: &Instant| {
            let window = *first..*first + Duration::from_secs(1);
            rejections.iter().filter(|at| window.contains(**at)).count()
        };
        rejections
            .iter()
            .map(|first| within(first))
            .max()
            .unwrap_or(0)
    }

    /// Whether it has no room for another request; if so, the rejection is counted.
    fn rejects(&self) -> bool {
        let limit = *self
            .rejection_limit
            .lock()
            .expect("the lock is not poisoned");
        let running = self.working.lock().expect("the lock is not poisoned").0;
        let is_full = limit.is_some_and(|(_, room)| running >= room);
        if is_full {
            let mut rejections = self.rejections.lock().expect("the lock is not poisoned");
            rejections.push(Instant::now());
        }
        is_full
    }

    /// Returns the most bytes that were sent with the behavior `endless` until the connection was closed.
    pub(crate) fn max_endless_bytes(&self) -> u64 {
        self.endless_bytes.load(Ordering::SeqCst)
    }

    /// Returns how often a request has crashed it.
    pub(crate) fn crash_count(&self) -> u64 {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Returns the name of its present instance; it changes with each crash.
    pub(crate) fn name(&self) -> String {
        match self.crash_count() {
            0 => self.id.clone(),
            crashes => format!("{}-{crashes}", self.id),
        }
    }

    /// Crashes the engine: closes all connections, and stays down for [`CRASH_DOWNTIME`].
    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        *self.down_until.lock().expect("the lock is not poisoned") =
            Some(Instant::now() + CRASH_DOWNTIME);
        let connections =
            std::mem::take(&mut *self.connections.lock().expect("the lock is not poisoned"));
        for stream in connections.values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn is_down(&self) -> bool {
        let down_until = self.down_until.lock().expect("the lock is not poisoned");
        down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Crashes if a caller closed the connection before its response was complete since the last call.
    pub(crate) fn restart_if_abandoned(&self) {
        let abandoned =
            std::mem::take(&mut *self.abandoned.lock().expect("the lock is not poisoned"));
        if abandoned > 0 {
            self.crash();
        }
    }

    /// Returns how many callers closed the connection before their response was complete.
    pub(crate) fn abandoned_count(&self) -> u32 {
        *self.abandoned.lock().expect("the lock is not poisoned")
    }

    fn serve(&self, stream: TcpStream) {
        if self.is_down() {
            return;
        }
        let _connection = Connection::new(self, &stream);
        let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
        let Some(request) = read_request(&mut reader) else {
            return;
        };
        let expected_instance = request.header("x-expect-instance").map(ToOwned::to_owned);
        let id = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let behavior = self.fixed_behavior.or_else(|| request.header("x-play"));
        let behavior = behavior.unwrap_or("answer").to_owned();
        let last_event = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        if expected_instance.as_deref() != Some(&self.name()) {
            answer(stream, 421, &id, "", "");
            return;
        }
        let host = request.host().to_owned();
        let index = {
            let mut received = self.received.lock().expect("the lock is not poisoned");
            received.push(request);
            received.len() - 1
        };
        let backoff = self
            .backoff
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        if let Some(time) = backoff {
            self.reject(stream, &id, &host, &time);
        } else {
            self.behave(stream, &behavior, &id, &host, last_event);
            self.received.lock().expect("the lock is not poisoned")[index].ended_at =
                Some(Instant::now());
        }
    }

    /// Rejects a request, and asks its host for backoff.
    fn reject(&self, stream: TcpStream, id: &str, host: &str, time: &str) {
        let headers = format!("X-Not-Executed: 1\r\nRetry-After: {time}\r\n");
        answer(stream, 503, id, &self.common_headers(&headers, host), "");
        if let Ok(seconds) = time.parse() {
            let period = BackoffPeriod {
                host: host.to_owned(),
                from: Instant::now(),
                length: Duration::from_secs_f64(seconds),
            };
            self.backoff_periods
                .lock()
                .expect("the lock is not poisoned")
                .push(period);
        }
    }

    /// Returns `headers` with those that all its responses to a host have.
    fn common_headers(&self, headers: &str, host: &str) -> String {
        let mut common_headers = headers.to_owned();
        if self.draining.load(Ordering::SeqCst) {
            common_headers.push_str("Server-Leaving: 1\r\nConnection: close\r\n");
        }
        if let Some(limit) = &*self.limit.lock().expect("the lock is not poisoned") {
            let now = Instant::now();
            let mut announcements = self.announcements.lock().expect("the lock is not poisoned");
            announcements.first_at.get_or_insert(now);
            announcements.by_host.entry(host.to_owned()).or_insert(now);
            common_headers = format!("{common_headers}Server-Limit: {limit}\r\n");
        }
        let limit = *self
            .rejection_limit
            .lock()
            .expect("the lock is not poisoned");
        if let Some((limit, _)) = limit {
            common_headers = format!("{common_headers}Server-Brittle: {limit}\r\n");
        }
        common_headers
    }

    fn behave(
        &self,
        mut stream: TcpStream,
        behavior: &str,
        id: &str,
        host: &str,
        last_event: Option<u32>,
    ) {
        // `first=PLAY`: only the engine `i-1` behaves as PLAY says, the others answer.
        let behavior = match behavior.split_once('=') {
            Some(("first", behavior)) if self.id == "i-1" => behavior,
            Some(_) => "answer",
            None => behavior,
        };
        let signed = &self.common_headers(SIGNED, host);
        match behavior {
            "shed" => answer(
                stream,
                503,
                id,
                &self.common_headers("X-Not-Executed: 1\r\n", host),
                "",
            ),
            "fail" => answer(stream, 500, id, signed, "failed"),
            "foreign" => answer(stream, 200, "another", SIGNED, "another's"),
            "unsigned" => answer(stream, 200, id, "", "nobody's"),
            "close" => {}
            "close-late" => std::thread::sleep(LATE_CLOSE_DELAY),
            "short" => {
                let head = head(200, id, SIGNED);
                let _ = write!(stream, "{head}Content-Length: 10\r\n\r\nhalf");
            }
            "surplus" => {
                answer(
                    stream.try_clone().expect("the stream can be cloned"),
                    200,
                    id,
                    SIGNED,
                    "right",
                );
                answer(stream, 200, "another", SIGNED, "wrong");
            }
            "crash" => {
                events(&mut stream, id, signed, 1, Some(2));
                self.crash();
            }
            "pause" => {
                std::thread::sleep(SILENCE);
                answer(stream, 200, id, signed, "done");
            }
            "pause-events" => {
                let from = last_event.map_or(1, |last_event| last_event + 1);
                events_with_pause(&mut stream, id, signed, from, None, SILENCE);
            }
            "work" if self.rejects() => {
                let headers = self.common_headers("X-Not-Executed: 1\r\n", host);
                answer(stream, 503, id, &headers, "");
            }
            "work" => {
                self.work();
                answer(stream, 200, id, signed, "done");
            }
            "hang" => self.wait_for_close(&mut stream),
            "reads-late" => answer(stream, 200, id, signed, "done"),
            "reads-late early" => {
                let _ = write!(stream, "{FIRST_EVENT}0\r\n\r\n");
            }
            "break" if last_event.is_none() => events(&mut stream, id, signed, 1, Some(3)),
            "events" | "break" => {
                let from = last_event.map_or(1, |last_event| last_event + 1);
                events(&mut stream, id, signed, from, None);
            }
            _ => {
                if let Some(size) = behavior.strip_prefix("unframed ") {
                    let head = head(200, id, signed);
                    unframed(&mut stream, &head, size);
                } else if let Some(kind) = behavior.strip_prefix("endless ") {
                    let head = head(200, id, signed);
                    endless(&mut stream, &head, kind, &self.endless_bytes);
                } else if let Some(status) = behavior.strip_prefix("status-not-run ") {
                    let headers = format!("{signed}X-Not-Executed: 1\r\n");
                    answer_with_status(&mut stream, status, id, &headers);
                } else if let Some(status) = behavior.strip_prefix("status ") {
                    answer_with_status(&mut stream, status, id, signed);
                } else if let Some(time) = behavior.strip_prefix("after ") {
                    let time = Duration::from_millis(time.parse().expect("a time in ms"));
                    std::thread::sleep(time);
                    answer(stream, 200, id, signed, "done");
                } else if let Some(time) = behavior.strip_prefix("lasts ") {
                    let time = Duration::from_millis(time.parse().expect("a time in ms"));
                    lasting_events(&mut stream, id, signed, time);
                } else if let Some(flow) = behavior.strip_prefix("flow ") {
                    let head = head(200, id, signed);
                    Flow::parse(flow).send(&mut stream, &head, last_event);
                } else if let Some(silent) = behavior.strip_prefix("silent ") {
                    Silent::parse(silent).send(&mut stream, &head(200, id, signed));
                } else if let Some(chunks) = behavior.strip_prefix("straddling ") {
                    let head = head(200, id, signed);
                    send_straddling(&mut stream, &head, chunks == "single");
                } else if let Some(end) = behavior.strip_prefix("ends ") {
                    let head = head(200, id, signed);
                    let end = StreamEnd::parse(end).of_version(self.version);
                    end.send(&mut stream, id, &head, last_event);
                } else {
                    answer(stream, 200, id, signed, "done");
                }
            }
        }
    }

    /// Runs a request for [`WORK_TIME`].
    fn work(&self) {
        let working = || self.working.lock().expect("the lock is not poisoned");
        {
            let mut working = working();
            working.0 += 1;
            working.1 = working.0.max(working.1);
        }
        std::thread::sleep(WORK_TIME);
        working().0 -= 1;
    }

    /// Returns the most requests with the behavior `work` that ran at the same time since the last call.
    pub(crate) fn take_max_working(&self) -> usize {
        let mut working = self.working.lock().expect("the lock is not poisoned");
        std::mem::replace(&mut working.1, 0)
    }

    /// Sends nothing until the caller closes the connection.
    fn wait_for_close(&self, stream: &mut TcpStream) {
        let timeout = Some(Duration::from_secs(20));
        stream
            .set_read_timeout(timeout)
            .expect("the timeout is valid");
        let mut byte = [0];
        if matches!(stream.read(&mut byte), Ok(0) | Err(_)) {
            *self.abandoned.lock().expect("the lock is not poisoned") += 1;
        }
    }
}

/// An event in a chunk.
const FIRST_EVENT: &str = "9\r\ndata: 1\n\n\r\n";

/// The header of a signed response.
const SIGNED: &str = "X-Response-Signature: sealed\r\n";

fn head(status: u16, id: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\n{headers}")
}

fn answer(mut stream: TcpStream, status: u16, id: &str, headers: &str, body: &str) {
    let head = head(status, id, headers);
    let length = body.len();
    let message = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    // At once: a connection that is closed with unread bytes drops what it has not sent yet.
    let _ = stream.write_all(message.as_bytes());
}

/// Sends a response with any text in the place of the status.
fn answer_with_status(stream: &mut TcpStream, status: &str, id: &str, headers: &str) {
    let head = head(200, id, headers).replacen("200", status, 1);
    let _ = stream.write_all(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes());
}

/// Begins a response, and then sends bytes that are no part of one until the connection is closed: `KIND`, as fast as
/// possible, or `KIND slow`, a byte at a time. `max_sent` is raised to the number of bytes that were sent.
fn endless(stream: &mut TcpStream, head: &str, kind: &str, max_sent: &AtomicU64) {
    let (kind, is_slow) = match kind.split_once(' ') {
        Some((kind, _)) => (kind, true),
        None => (kind, false),
    };
    let chunked =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (begin, filler) = match kind {
        "status" => ("HTTP/1.1 200 ".to_owned(), "x"),
        "header" => (format!("{head}X-Filler: "), "x"),
        "headers" => (head.to_owned(), "X-Filler: x\r\n"),
        "interims" => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        "body" => (format!("{head}Content-Type: text/plain\r\n\r\n"), "x"),
        "length" => (format!("{head}Content-Length: 1000000000000\r\n\r\n"), "x"),
        "chunk" => (format!("{chunked}ffffffffff\r\n"), "x"),
        "chunk-size" => (chunked, "0"),
        "chunk-extension" => (format!("{chunked}a;"), "x"),
        "trailer" => (
            format!("{chunked}8\r\ndata: 1\n\r\n1\r\n\n\r\n0\r\n"),
            "x: y\r\n",
        ),
        "event" => (
            format!("{head}Content-Type: text/event-stream\r\n\r\ndata: "),
            "x",
        ),
        "chunked-event" => (chunked, "6\r\ndata: \r\n"),
        "after-length" => (format!("{head}Content-Length: 4\r\n\r\ndone"), "x"),
        _ => panic!("unknown kind: {kind}"),
    };
    let filler = if is_slow {
        filler.to_owned()
    } else {
        filler.repeat(1_000)
    };
    let timeout = Some(Duration::from_secs(10));
    stream
        .set_write_timeout(timeout)
        .expect("the timeout is valid");
    let until = Instant::now() + Duration::from_secs(20);
    let mut sent = 0;
    let mut bytes = begin.as_bytes();
    while Instant::now() < until && stream.write_all(bytes).is_ok() {
        sent += bytes.len() as u64;
        max_sent.fetch_max(sent, Ordering::SeqCst);
        bytes = filler.as_bytes();
        if is_slow {
            std::thread::sleep(WORK_TIME);
        }
    }
}

/// Sends a body of `size` bytes without a length or chunks: `SIZE`, or `SIZE reset` if the connection is reset after it.
fn unframed(stream: &mut TcpStream, head: &str, size: &str) {
    let (size, is_reset) = match size.split_once(' ') {
        Some((size, _)) => (size, true),
        None => (size, false),
    };
    let body = vec![b'x'; size.parse().expect("a size")];
    let _ = write!(stream, "{head}Content-Type: text/plain\r\n\r\n");
    let _ = stream.write_all(&body);
    if is_reset {
        std::thread::sleep(WORK_TIME);
        let linger = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        linger.expect("the connection can be reset");
    }
}

/// Sends six events, from the number `from` on; with `cut_at` the stream breaks off within that event.
fn events(stream: &mut TcpStream, id: &str, headers: &str, from: u32, cut_at: Option<u32>) {
    events_with_pause(stream, id, headers, from, cut_at, Duration::ZERO);
}

/// The head of a stream of events in chunks.
fn head_of_events(id: &str, headers: &str) -> String {
    let head = head(200, id, headers);
    format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

/// Sends a stream of events that ends after `time`.
fn lasting_events(stream: &mut TcpStream, id: &str, headers: &str, time: Duration) {
    let until = Instant::now() + time;
    let head = head_of_events(id, headers);
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    let mut number = 0;
    while is_open && Instant::now() < until {
        number += 1;
        let event = format!("id: {number}\ndata: e{number}\n\n");
        is_open = write!(stream, "{:x}\r\n{event}\r\n", event.len()).is_ok();
        std::thread::sleep(EVENT_INTERVAL);
    }
    let _ = write!(stream, "0\r\n\r\n");
}

/// Sends events like [`events`], with a pause before the fourth.
fn events_with_pause(
    stream: &mut TcpStream,
    id: &str,
    headers: &str,
    from: u32,
    cut_at: Option<u32>,
    pause: Duration,
) {
    let head = head_of_events(id, headers);
    let _ = stream.write_all(head.as_bytes());
    for number in from..=6 {
        let event = format!("id: {number}\ndata: e{number}\n\n");
        if number == 4 {
            std::thread::sleep(pause);
        }
        if cut_at == Some(number) {
            let prefix = &event[..9];
            let _ = write!(stream, "{:x}\r\n{prefix}\r\n", prefix.len());
            return;
        }
        let _ = write!(stream, "{:x}\r\n{event}\r\n", event.len());
    }
    let _ = write!(stream, "0\r\n\r\n");
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<ReceivedRequest> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let mut request = ReceivedRequest {
        at: Instant::now(),
        ended_at: None,
        head,
        body: String::new(),
    };
    let behavior = request.header("x-play").unwrap_or_default();
    if behavior == "reads-late early" {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let head = head_of_events(id, SIGNED);
        let _ = write!(reader.get_mut(), "{head}{FIRST_EVENT}");
    }
    if behavior.starts_with("reads-late") {
        std::thread::sleep(UNREAD_TIME);
    }
    let headers = match behavior {
        "unread" => Some((200, SIGNED)),
        "unread shed" => Some((503, "X-Not-Executed: 1\r\n")),
        _ => None,
    };
    if let Some((status, headers)) = headers {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let stream = reader.get_ref().try_clone();
        let stream = stream.expect("the stream can be cloned");
        answer(stream, status, id, headers, "done");
        return None;
    }
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Some(request)
}
