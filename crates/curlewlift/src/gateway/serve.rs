//! Takes connections and answers their requests.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use axum::http::Request;
use curlewlift_core::route::Limits;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::body::Answer;

/// The most headers in one head.
const MAX_HEADERS: usize = 128;

/// The least that a connection's buffer holds for a head, and beside the largest one, in bytes: the
/// HTTP library takes no smaller buffer.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The most that a head may take, in bytes, whatever a table allows.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// Between two attempts to take a connection after one failed, for descriptors to come free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Answers requests on `listener` with `answer` until it is dropped.
pub(crate) async fn serve<L, F, A>(listener: TcpListener, limits: L, answer: F)
where
    L: Fn() -> Limits,
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Answer> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let answer = Rc::clone(&answer);
                tokio::task::spawn_local(connection(stream, limits(), answer));
            }
            Err(why) => {
                log::warn!("a connection cannot be taken: {why}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection<F, A>(stream: TcpStream, limits: Limits, answer: Rc<F>)
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Answer> + 'static,
{
    crate::process::watch_connection(&stream);
    let service = service_fn(move |request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // A head's time begins when the connection rests, so it must allow for that.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + limits.header_time)
        .max_headers(MAX_HEADERS)
        .max_buf_size(
            limits.header_bytes.clamp(MIN_BUFFER_BYTES, MAX_HEAD_BYTES) + MIN_BUFFER_BYTES,
        )
        .serve_connection(TokioIo::new(stream), service);
    if let Err(why) = connection.await {
        log::debug!("a caller's connection has ended: {why}");
    }
}
