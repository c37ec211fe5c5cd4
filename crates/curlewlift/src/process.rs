//! Runs a process of the system on its own thread: starts it, stops or kills it, and waits for it.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use curlewlift_core::clock;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use nix::time::ClockId;
use nix::time::clock_gettime;
use tokio::sync::watch;
use tokio::task::LocalSet;

#[cfg(test)]
mod tests;

/// The length of the queue of new connections that are not accepted yet. All hosts of a large fleet connect to a new
/// leader at the same moment, and a SYN packet that finds the queue full is sent again only after a second.
const ACCEPT_BACKLOG: i32 = 4_096;

/// The time of day, in milliseconds of Unix time.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// An order to a process from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Keep running.
    Run,
    /// Finish the current work and exit.
    Stop,
    /// Exit at once, as if killed.
    Kill,
}

/// Receives a process's orders.
#[derive(Clone)]
pub(crate) struct Signal(watch::Receiver<Order>);

impl Signal {
    /// Waits for an order other than [`Order::Run`]; it is [`Order::Kill`] once no handle is left.
    pub(crate) async fn next(&mut self) -> Order {
        match self.0.wait_for(|order| *order != Order::Run).await {
            Ok(order) => *order,
            Err(_) => Order::Kill,
        }
    }

    /// Waits for [`Order::Kill`].
    pub(crate) async fn killed(&mut self) {
        let _ = self.0.wait_for(|order| *order == Order::Kill).await;
    }
}

/// A running process.
///
/// > **Note:** it runs on its own thread with its own runtime, so that several can run in one test
/// > or example and each can be killed separately.
#[derive(Debug)]
pub struct Process {
    orders: Arc<watch::Sender<Order>>,
    thread: JoinHandle<Result<(), Refusal>>,
}

/// Stops a process from elsewhere, such as a signal handler.
#[derive(Clone, Debug)]
pub struct Handle(Arc<watch::Sender<Order>>);

impl Handle {
    /// Asks the process to finish its work and exit.
    pub fn stop(&self) {
        self.0.send_replace(Order::Stop);
    }
}

impl Process {
    pub(crate) fn start<M, F>(name: &str, main: M) -> Result<Self, Refusal>
    where
        M: FnOnce(Signal) -> F + Send + 'static,
        F: Future<Output = Result<(), Refusal>>,
    {
        let (orders, receiver) = watch::channel(Order::Run);
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = runtime.map_err(|why| {
                Refusal::new(
                    Code::Internal,
                    format!("the async runtime cannot be created: {why}"),
                )
            })?;
            let mut signal = Signal(receiver.clone());
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                tokio::select! {
                    result = main(Signal(receiver)) => result,
                    () = signal.killed() => Ok(()),
                }
            })
        });
        let thread = thread.map_err(|why| {
            Refusal::new(
                Code::Internal,
                format!("the process's thread cannot be created: {why}"),
            )
        })?;
        Ok(Self {
            orders: Arc::new(orders),
            thread,
        })
    }

    /// A handle by which the process can be stopped from elsewhere.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle(Arc::clone(&self.orders))
    }

    /// Asks the process to finish its work and exit.
    pub fn stop(&self) {
        self.orders.send_replace(Order::Stop);
    }

    /// Ends the process at once, with all its connections, as if it had been killed, and waits for it.
    pub fn kill(self) {
        self.orders.send_replace(Order::Kill);
        let _ = self.thread.join();
    }

    /// Whether the process has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// The failure that ended the process, if there was one.
    pub fn wait(self) -> Result<(), Refusal> {
        let result = self.thread.join();
        result.unwrap_or_else(|_| {
            Err(Refusal::new(
                Code::Internal,
                "the process's thread has panicked",
            ))
        })
    }
}

/// The clock for a process's decisions: it never goes back, and it advances while the host is suspended.
///
/// Leases, slot grants, quota shares and cached information that expire elsewhere during a suspension must
/// have expired here as well. The monotonic clock that timers use stops meanwhile, and the time of day may jump.
#[derive(Clone, Debug)]
pub struct Clock {
    started_at: Duration,
    /// The simulated suspensions, in microseconds; see [`Clock::simulate_suspend`].
    simulated_us: Arc<AtomicU64>,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_at: since_boot(),
            simulated_us: Arc::default(),
        }
    }

    /// The time since the clock was started.
    #[must_use]
    pub fn now(&self) -> clock::Instant {
        let simulated = Duration::from_micros(self.simulated_us.load(Ordering::Relaxed));
        clock::Instant::default() + since_boot().saturating_sub(self.started_at) + simulated
    }

    /// Advances the clock by `length`, as if the host had been suspended, to test how a process copes with
    /// that. Clones advance as well.
    pub fn simulate_suspend(&self, length: Duration) {
        let micros = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        self.simulated_us.fetch_add(micros, Ordering::Relaxed);
    }
}

/// The time since the host was booted, including suspensions.
fn since_boot() -> Duration {
    let boot_time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(boot_time.expect("Linux has CLOCK_BOOTTIME since 2.6.39"))
}

/// Turns `listener` into a listener of the async runtime.
pub(crate) fn tokio_listener(listener: TcpListener) -> Result<tokio::net::TcpListener, Refusal> {
    let tokio_listener = listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(listener));
    tokio_listener.map_err(|why| {
        Refusal::new(
            Code::Internal,
            format!("the listening socket cannot be used by the async runtime: {why}"),
        )
    })
}

/// Listens at `address`.
///
/// # Errors
///
/// [`Code::BadSetting`] if the process cannot listen at the address.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, Refusal> {
    listen(address).map_err(|why| {
        let why = format!("cannot listen at {address}: {why}");
        Refusal::new(Code::BadSetting, why)
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    // After a restart, connections of the former process may still hold the address.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// How long sent bytes may stay unacknowledged before a connection between processes of the system counts as dead. Linux
/// also ends keep-alive probes by this time, whatever their count.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a connection may be idle before the peer is probed, and the interval of the probes. A peer that lost power or
/// network doesn't close its connections.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How many probes a caller may leave unanswered.
const CALLER_KEEPALIVE_PROBES: u32 = 3;

/// How many probes a backend server may leave unanswered, directly or through a tunnel.
const SERVER_KEEPALIVE_PROBES: u32 = 2;

/// Sets the options of a connection between processes of the system: small writes are sent at once, and an unresponsive
/// peer is noticed.
pub(crate) fn configure_connection(stream: &tokio::net::TcpStream) {
    let configured = configure(stream, &keepalive()).and_then(|()| {
        let socket = socket2::SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
    });
    log_failure(configured);
}

/// Sets the options of a caller's connection.
///
/// There is no user time-out: Linux also applies it to a sound peer that acknowledges everything but doesn't read for that
/// long, or only a little at a time.
pub(crate) fn configure_caller_connection(stream: &tokio::net::TcpStream) {
    let keepalive = keepalive().with_retries(CALLER_KEEPALIVE_PROBES);
    log_failure(configure(stream, &keepalive));
}

/// Sets the options of a connection to a backend server, or of a tunnel to one; without a user time-out, as for callers.
pub(crate) fn configure_server_connection(stream: &tokio::net::TcpStream) {
    let keepalive = keepalive().with_retries(SERVER_KEEPALIVE_PROBES);
    log_failure(configure(stream, &keepalive));
}

fn keepalive() -> socket2::TcpKeepalive {
    socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
}

fn configure(stream: &tokio::net::TcpStream, keepalive: &socket2::TcpKeepalive) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_keepalive(keepalive)
}

fn log_failure(configured: io::Result<()>) {
    if let Err(why) = configured {
        log::debug!("the socket options of a connection cannot be set: {why}");
    }
}
