//! A narrow line: all that hosts send over it shares one rate.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// What goes over the line in one go, in bytes.
const CHUNK: usize = 2_048;

/// What passes answers on at a rate; questions go the other way freely.
pub(crate) struct Line {
    port: u16,
}

/// The moment from which the line is free again.
type Free = Arc<Mutex<Instant>>;

impl Line {
    /// Lays a line of `rate` bytes a second to all of `ends`, on one port at each of their addresses.
    pub(crate) fn lay(rate: u64, ends: &[SocketAddr]) -> Self {
        let free = Arc::new(Mutex::new(Instant::now()));
        let mut port = 0;
        for end in ends {
            let listener = TcpListener::bind((end.ip(), port)).expect("a port that is free at all");
            port = listener.local_addr().expect("an address").port();
            let (free, end) = (Arc::clone(&free), *end);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    connect(stream, end, rate, &free);
                }
            });
        }
        Self { port }
    }

    pub(crate) fn get_port(&self) -> u16 {
        self.port
    }
}

/// Joins a connection with one to `end`; where that is refused, so is this.
fn connect(asker: TcpStream, end: SocketAddr, rate: u64, free: &Free) {
    let Ok(server) = TcpStream::connect(end) else {
        return;
    };
    let clone = |stream: &TcpStream| stream.try_clone().expect("a descriptor");
    let (questions, answers) = ((clone(&asker), clone(&server)), (server, asker));
    thread::spawn(move || pass(questions.0, questions.1, || ()));
    let free = Arc::clone(free);
    thread::spawn(move || pass(answers.0, answers.1, || occupy(&free, rate)));
}

/// Waits until the line has carried a chunk.
fn occupy(free: &Free, rate: u64) {
    let takes = Duration::from_secs(CHUNK as u64) / u32::try_from(rate).expect("a narrow line");
    let until = {
        let mut free = free.lock().expect("a lock");
        *free = (*free).max(Instant::now()) + takes;
        *free
    };
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

fn pass(mut from: TcpStream, mut to: TcpStream, carry: impl Fn()) {
    let mut chunk = [0; CHUNK];
    while let Ok(count) = from.read(&mut chunk) {
        if count == CHUNK {
            carry();
        }
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
