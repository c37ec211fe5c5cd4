//! A process of the system on a thread of its own: started, stopped, killed, waited for.

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

/// How many new connections wait to be taken: all hosts of a large fleet turn to a new leader at the same moment, and the
/// opening packet of one that finds the queue full goes again only after a second.
const BACKLOG: i32 = 4_096;

/// The time of day, in milliseconds of Unix time.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// What a process is told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Go on.
    Run,
    /// Finish and end.
    Stop,
    /// End at once, as if killed.
    Kill,
}

/// The process's side of its orders.
#[derive(Clone)]
pub(crate) struct Signal(watch::Receiver<Order>);

impl Signal {
    /// Waits for an order other than to go on.
    pub(crate) async fn next(&mut self) -> Order {
        match self.0.wait_for(|order| *order != Order::Run).await {
            Ok(order) => *order,
            Err(_) => Order::Kill,
        }
    }

    /// Waits until it must end at once.
    pub(crate) async fn killed(&mut self) {
        let _ = self.0.wait_for(|order| *order == Order::Kill).await;
    }
}

/// A running process.
///
/// > **Note:** it runs on a thread with a runtime of its own, so that several can run in one test
/// > or example and each can be killed by itself.
#[derive(Debug)]
pub struct Process {
    orders: Arc<watch::Sender<Order>>,
    thread: JoinHandle<Result<(), Refusal>>,
}

/// Gives orders to a process from elsewhere, such as a signal handler.
#[derive(Clone, Debug)]
pub struct Handle(Arc<watch::Sender<Order>>);

impl Handle {
    /// Asks it to finish and end.
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
                Refusal::new(Code::Internal, format!("no runtime could be made: {why}"))
            })?;
            let mut killed = Signal(receiver.clone());
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                tokio::select! {
                    result = main(Signal(receiver)) => result,
                    () = killed.killed() => Ok(()),
                }
            })
        });
        let thread = thread.map_err(|why| {
            Refusal::new(Code::Internal, format!("no thread could be made: {why}"))
        })?;
        Ok(Self {
            orders: Arc::new(orders),
            thread,
        })
    }

    /// A handle that gives orders from elsewhere.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle(Arc::clone(&self.orders))
    }

    /// Asks it to finish and end.
    pub fn stop(&self) {
        self.orders.send_replace(Order::Stop);
    }

    /// Ends it at once, with all its connections, as if it had been killed.
    pub fn kill(self) {
        self.orders.send_replace(Order::Kill);
        let _ = self.thread.join();
    }

    /// Whether it has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    ///
    /// What ended it, if that was a failure.
    pub fn wait(self) -> Result<(), Refusal> {
        let result = self.thread.join();
        result.unwrap_or_else(|_| Err(Refusal::new(Code::Internal, "a thread has panicked")))
    }
}

/// The clock that a process's decisions go by: it never goes back, and goes on while the host is suspended.
///
/// A lease, a place, a part of an allowance or a belief that others have let run out meanwhile must be over
/// here as well; the steady clock that timers use stands still, and the time of day may jump.
#[derive(Clone, Debug)]
pub struct Clock {
    began: Duration,
    /// Beyond what the machine was suspended for; see [`Clock::simulate_suspend`].
    skipped: Arc<AtomicU64>,
}

impl Clock {
    /// A clock that begins now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            began: since_boot(),
            skipped: Arc::default(),
        }
    }

    /// The time since it began.
    #[must_use]
    pub fn now(&self) -> clock::Instant {
        let skipped = Duration::from_micros(self.skipped.load(Ordering::Relaxed));
        clock::Instant::default() + since_boot().saturating_sub(self.began) + skipped
    }

    /// Goes on by `length` as if the host had been suspended, for whoever wants to see what a process makes
    /// of that; clones go on alike.
    pub fn simulate_suspend(&self, length: Duration) {
        let micros = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        self.skipped.fetch_add(micros, Ordering::Relaxed);
    }
}

/// The time since the machine was started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(time.expect("Linux has had this clock since 2.6.39"))
}

/// `listener` for the runtime.
pub(crate) fn tokio_listener(listener: TcpListener) -> Result<tokio::net::TcpListener, Refusal> {
    let made = listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(listener));
    made.map_err(|why| {
        Refusal::new(
            Code::Internal,
            format!("the listener cannot be used: {why}"),
        )
    })
}

/// Listens at `address`.
///
/// # Errors
///
/// [`Code::BadSetting`] where the address cannot be had.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, Refusal> {
    listen(address).map_err(|why| {
        let why = format!("cannot listen at {address}: {why}");
        Refusal::new(Code::BadSetting, why)
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    // A process that starts again finds connections of the one before it.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// How long bytes may go unacknowledged before a connection counts as dead: a peer that lost its
/// power or is cut off says nothing.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);

/// Sends small pieces at once, and finds out when the peer has gone silently.
pub(crate) fn configure_connection(stream: &tokio::net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(why) = set {
        log::debug!("a connection's options cannot be set: {why}");
    }
}
