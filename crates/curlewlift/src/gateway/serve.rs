//! Accepts connections and serves their requests.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use axum::http::Request;
use axum::http::Version;
use curlewlift_core::route::Limits;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::body::Answer;
use super::body::TruncatedBody;
use super::caller_stream::CallerStream;

/// Maximum number of headers in one request head.
const MAX_HEADERS: usize = 128;

/// Minimum size of a connection's buffer for a head, and its room beyond the largest head, in bytes: the
/// HTTP library accepts no smaller buffer.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Maximum size of a head in bytes, whatever a table allows.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// Pause after a failed accept, for file descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which it is checked whether the limits have changed.
const LIMITS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a caller may take nothing of a response that waits to be written: longer than the deadlines of requests. It
/// holds a connection and memory meanwhile.
const MAX_CALLER_STALL: Duration = Duration::from_mins(1);

/// The address of a request's caller, among the request's extensions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerAddress(pub(crate) SocketAddr);

/// Serves requests on `listener` with `answer` until the future is dropped. Connections that were accepted under other limits
/// on heads or idle time end after the response that is under way, so that callers open new ones.
pub(crate) async fn serve<L, F, A>(listener: TcpListener, limits: L, answer: F)
where
    L: Fn() -> Limits,
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Answer> + 'static,
{
    let answer = Rc::new(answer);
    let (current_limits, _) = watch::channel(limits());
    let update_limits = || {
        let next = limits();
        current_limits.send_if_modified(|current| {
            let is_changed = head_limits(*current) != head_limits(next);
            *current = next;
            is_changed
        });
    };
    let mut limits_check = tokio::time::interval(LIMITS_CHECK_INTERVAL);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = limits_check.tick() => {
                update_limits();
                continue;
            }
        };
        match accepted {
            Ok((stream, caller)) => {
                update_limits();
                let answer = Rc::clone(&answer);
                let caller = CallerAddress(caller);
                let limits = current_limits.subscribe();
                tokio::task::spawn_local(connection(stream, caller, limits, answer));
            }
            Err(why) => {
                log::warn!("accepting a connection failed: {why}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The limits that a connection keeps from when it is accepted.
fn head_limits(limits: Limits) -> (usize, Duration, Duration) {
    (limits.header_bytes, limits.header_time, limits.idle_time)
}

async fn connection<F, A>(
    stream: TcpStream,
    caller: CallerAddress,
    mut current_limits: watch::Receiver<Limits>,
    answer: Rc<F>,
) where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Answer> + 'static,
{
    let limits = *current_limits.borrow_and_update();
    crate::process::configure_caller_connection(&stream);
    let stream = CallerStream::new(stream, MAX_CALLER_STALL);
    let is_http_10 = Rc::new(Cell::new(false));
    let version = Rc::clone(&is_http_10);
    let unsent = stream.unsent();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(caller);
        version.set(request.version() == Version::HTTP_10);
        let answer = answer(request);
        let unsent = unsent.clone();
        async move { Ok::<_, Infallible>(answer.await.map(|body| body.sent_over(unsent))) }
    });
    // The timeout for a head also runs while the connection is idle, so it includes the idle time.
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + limits.header_time)
        .max_headers(MAX_HEADERS)
        .max_buf_size(
            limits.header_bytes.clamp(MIN_BUFFER_BYTES, MAX_HEAD_BYTES) + MIN_BUFFER_BYTES,
        )
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        Ok(()) = current_limits.changed() => None,
    };
    let ended = if let Some(ended) = ended {
        ended
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        (&mut connection).await
    };
    let Err(why) = ended else {
        return;
    };
    log::debug!("a caller's connection failed: {why}");
    if is_http_10.get() && is_truncation(&why) {
        reset(connection.into_parts().io.inner().get_ref());
    }
}

/// Whether a connection failed because the body of a response was truncated.
fn is_truncation(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    source.is_some_and(<dyn std::error::Error>::is::<TruncatedBody>)
}

/// Makes a connection end with a reset: a response to HTTP/1.0 has no chunks, so its end is the end of its connection.
fn reset(stream: &TcpStream) {
    if let Err(why) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::error!(
            "a truncated response looks complete, as its connection cannot be reset: {why}"
        );
    }
}
