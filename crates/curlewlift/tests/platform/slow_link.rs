//! A slow link: all responses sent over it share one rate.

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How many bytes are sent at once.
const CHUNK_BYTES: usize = 2_048;

/// How often a silent connection checks whether it still is.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A proxy that forwards responses at a limited rate, and requests without a limit.
pub(crate) struct SlowLink {
    rate: u64,
    port: u16,
    response_bytes: Arc<AtomicU64>,
    silent: Silent,
}

/// The targets from and to which nothing is forwarded, on connections that stay open.
type Silent = Arc<Mutex<BTreeSet<SocketAddr>>>;

/// When the link is free again.
type FreeAt = Arc<Mutex<Instant>>;

impl SlowLink {
    /// Opens a link of `rate` bytes per second to all of `targets`, on one port at each of their addresses.
    pub(crate) fn open(rate: u64, targets: &[SocketAddr]) -> Self {
        let free_at = Arc::new(Mutex::new(Instant::now()));
        let response_bytes = Arc::new(AtomicU64::new(0));
        let silent = Silent::default();
        let mut port = 0;
        for target in targets {
            let listener =
                TcpListener::bind((target.ip(), port)).expect("the port is free at each address");
            port = listener.local_addr().expect("an address").port();
            let (free_at, target) = (Arc::clone(&free_at), *target);
            let response_bytes = Arc::clone(&response_bytes);
            let silent = Arc::clone(&silent);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    connect(stream, target, rate, &free_at, &response_bytes, &silent);
                }
            });
        }
        Self {
            rate,
            port,
            response_bytes,
            silent,
        }
    }

    /// Makes the link to these targets silent, and no other.
    pub(crate) fn silence(&self, targets: impl IntoIterator<Item = SocketAddr>) {
        *self.silent.lock().expect("the lock is not poisoned") = targets.into_iter().collect();
    }

    /// Returns how many bytes of responses have been sent over the link.
    pub(crate) fn get_response_bytes(&self) -> u64 {
        self.response_bytes.load(Ordering::Relaxed)
    }

    /// Returns its rate in bytes per second.
    pub(crate) fn get_rate(&self) -> u64 {
        self.rate
    }

    pub(crate) fn get_port(&self) -> u16 {
        self.port
    }
}

/// Connects a caller to `target`; closes its connection if `target` refuses.
fn connect(
    caller: TcpStream,
    target: SocketAddr,
    rate: u64,
    free_at: &FreeAt,
    response_bytes: &Arc<AtomicU64>,
    silent: &Silent,
) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let clone = |stream: &TcpStream| stream.try_clone().expect("the stream can be cloned");
    let (requests, responses) = ((clone(&caller), clone(&server)), (server, caller));
    let wait_while_silent = {
        let silent = Arc::clone(silent);
        move || {
            while silent
                .lock()
                .expect("the lock is not poisoned")
                .contains(&target)
            {
                thread::sleep(SILENCE_CHECK_INTERVAL);
            }
        }
    };
    let wait_for_requests = wait_while_silent.clone();
    thread::spawn(move || copy(requests.0, requests.1, |_| wait_for_requests()));
    let (free_at, response_bytes) = (Arc::clone(free_at), Arc::clone(response_bytes));
    let before_chunk = move |length| {
        wait_while_silent();
        response_bytes.fetch_add(length as u64, Ordering::Relaxed);
        if length == CHUNK_BYTES {
            wait_for_chunk(&free_at, rate);
        }
    };
    thread::spawn(move || copy(responses.0, responses.1, before_chunk));
}

/// Waits until the link has transferred a chunk.
fn wait_for_chunk(free_at: &FreeAt, rate: u64) {
    let chunk_time = Duration::from_secs(CHUNK_BYTES as u64)
        / u32::try_from(rate).expect("the rate fits in 32 bits");
    let until = {
        let mut free_at = free_at.lock().expect("the lock is not poisoned");
        *free_at = (*free_at).max(Instant::now()) + chunk_time;
        *free_at
    };
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

/// Copies bytes from one stream to the other, and calls `before_chunk` before each chunk with its length.
fn copy(mut source: TcpStream, mut destination: TcpStream, before_chunk: impl Fn(usize)) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(count) = source.read(&mut chunk) {
        before_chunk(count);
        if count == 0 || destination.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = source.shutdown(std::net::Shutdown::Both);
    let _ = destination.shutdown(std::net::Shutdown::Both);
}
