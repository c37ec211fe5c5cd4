//! The operators' client for configurations: reads or sends one at the first host that completes the transfer.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Request;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use bytes::Bytes;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::state::Document;
use curlewlift_core::state::MAX_DOCUMENT_BYTES;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use super::reads::GZIP;

/// The path of reads.
const READ_PATH: &str = "/api/config/get";

/// The path of publications.
const PUBLISH_PATH: &str = "/api/config/put";

/// Maximum number of redirects that are followed from one host.
const MAX_REDIRECTS: usize = 2;

/// How often all hosts are tried: a leader may have to be elected, and a host that has redirected a read serves it if
/// the leader cannot be reached.
const MAX_ROUNDS: usize = 5;

/// Pause after the first round over all hosts; it doubles with each round.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a transfer may make no progress. An acknowledgement takes less.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the pieces in which a document is sent, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// How much of a document has been transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Transfer {
    /// The bytes that were sent or received.
    pub(crate) bytes: usize,
    /// The bytes of the whole transfer, if known.
    pub(crate) total: Option<usize>,
}

/// Is called with the progress of a transfer.
type OnProgress = Rc<dyn Fn(Transfer)>;

/// A client for the configuration of gateways.
pub(crate) struct Client {
    hosts: Vec<SocketAddr>,
    on_progress: OnProgress,
}

/// The body of a refusal.
#[derive(Deserialize)]
struct RefusalBody {
    code: u16,
    error: String,
}

/// Why a host did not complete a transfer.
enum Failure {
    /// The host has decided: the others would refuse it too.
    Refused(Refusal),
    /// Another host may complete it.
    Incomplete(String),
}

impl Client {
    /// A client that tries `hosts` in this order.
    pub(crate) fn new(hosts: Vec<SocketAddr>, on_progress: impl Fn(Transfer) + 'static) -> Self {
        Self {
            hosts,
            on_progress: Rc::new(on_progress),
        }
    }

    /// Reads the newest configuration.
    ///
    /// # Errors
    ///
    /// The refusal of a host, or [`Code::NotTransferred`] if none completed the transfer.
    pub(crate) fn read(&self) -> Result<String, Refusal> {
        self.run(&Method::GET, READ_PATH, &Bytes::new())
    }

    /// Sends a configuration.
    ///
    /// # Errors
    ///
    /// The refusal of a host, or [`Code::NotTransferred`] if none acknowledged it. It may be in effect then.
    pub(crate) fn publish(&self, document: Vec<u8>) -> Result<(), Refusal> {
        self.run(&Method::POST, PUBLISH_PATH, &document.into())
            .map(|_| ())
    }

    fn run(&self, method: &Method, path: &str, document: &Bytes) -> Result<String, Refusal> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|why| Refusal::new(Code::Internal, why.to_string()))?;
        LocalSet::new().block_on(&runtime, self.try_hosts(method, path, document))
    }

    /// Tries the hosts in rounds until one completes the transfer or refuses it.
    async fn try_hosts(
        &self,
        method: &Method,
        path: &str,
        document: &Bytes,
    ) -> Result<String, Refusal> {
        let mut failures = Vec::new();
        let mut pause = FIRST_PAUSE;
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            failures.clear();
            for host in &self.hosts {
                match self.transfer(*host, method, path, document).await {
                    Ok(text) => return Ok(text),
                    Err(Failure::Refused(refusal)) => return Err(refusal),
                    Err(Failure::Incomplete(why)) => failures.push(format!("{host}: {why}")),
                }
            }
        }
        Err(Refusal::new(Code::NotTransferred, failures.join("; ")))
    }

    /// Transfers a document at one host, or where that redirects to.
    async fn transfer(
        &self,
        host: SocketAddr,
        method: &Method,
        path: &str,
        document: &Bytes,
    ) -> Result<String, Failure> {
        let mut address = host;
        let mut path = path.to_owned();
        for _ in 0..=MAX_REDIRECTS {
            let (response, progress) = self.send(address, method, &path, document).await?;
            if response.status() != StatusCode::TEMPORARY_REDIRECT {
                return receive(response, &progress).await;
            }
            let location = response.headers().get(header::LOCATION);
            let target = location.and_then(|location| redirect_target(location.to_str().ok()?));
            (address, path) = target.ok_or_else(|| {
                incomplete(format!("{address} redirects to no address: {location:?}"))
            })?;
        }
        Err(incomplete(format!("more than {MAX_REDIRECTS} redirects")))
    }

    /// Sends a request, and returns the head of the response.
    async fn send(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        document: &Bytes,
    ) -> Result<(Response<Incoming>, Rc<Progress>), Failure> {
        let failed = |why: &dyn std::fmt::Display| incomplete(format!("{address}: {why}"));
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| failed(&"no connection in time"))?;
        let stream = stream.map_err(|why| failed(&why))?;
        let progress = Rc::new(Progress::new(Rc::clone(&self.on_progress)));
        let upload = Upload {
            total: document.len(),
            rest: document.clone(),
            progress: Rc::clone(&progress),
        };
        let request = Request::builder()
            .method(method.clone())
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::ACCEPT_ENCODING, GZIP)
            .header(header::CONTENT_TYPE, "application/json")
            .body(upload)
            .map_err(|why| failed(&why))?;
        let connection = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = connection.map_err(|why| failed(&why))?;
        tokio::task::spawn_local(connection);
        let response = progress.unless_stalled(sender.send_request(request)).await;
        let response = response.ok_or_else(|| failed(&"the transfer stalled"))?;
        Ok((response.map_err(|why| failed(&why))?, progress))
    }
}

/// The address and path that a redirect names.
fn redirect_target(location: &str) -> Option<(SocketAddr, String)> {
    let rest = location.strip_prefix("http://")?;
    let (address, path) = rest.split_at(rest.find('/')?);
    Some((address.parse().ok()?, path.to_owned()))
}

/// Receives the text of a response, or the refusal in it.
async fn receive(response: Response<Incoming>, progress: &Progress) -> Result<String, Failure> {
    let (head, mut body) = response.into_parts();
    let total = body.size_hint().exact();
    let total = total.and_then(|total| usize::try_from(total).ok());
    let mut bytes = Vec::new();
    loop {
        let frame = progress.unless_stalled(body.frame()).await;
        let Some(frame) = frame.ok_or_else(|| incomplete("the transfer stalled"))? else {
            break;
        };
        let frame = frame.map_err(|why| incomplete(format!("the response broke off: {why}")))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(incomplete("the response is larger than any configuration"));
        }
        progress.advance(Transfer {
            bytes: bytes.len(),
            total,
        });
    }
    if head.status != StatusCode::OK {
        return Err(failure(head.status, &bytes));
    }
    let text = if is_gzip(&head.headers) {
        Document::text_from_gzip(&bytes).map_err(|why| why.to_string())
    } else {
        String::from_utf8(bytes).map_err(|why| why.to_string())
    };
    text.map_err(Failure::Incomplete)
}

fn is_gzip(headers: &HeaderMap) -> bool {
    let encoding = headers.get(header::CONTENT_ENCODING);
    encoding.is_some_and(|encoding| encoding.as_bytes() == GZIP.as_bytes())
}

/// What a response without a configuration says.
fn failure(status: StatusCode, body: &[u8]) -> Failure {
    let refusal: Option<RefusalBody> = serde_json::from_slice(body).ok();
    let refusal = refusal.and_then(|refusal| {
        let code = Code::try_from(refusal.code).ok()?;
        Some(Refusal::new(code, refusal.error))
    });
    let is_decided = status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS;
    match refusal {
        Some(refusal) if is_decided => Failure::Refused(refusal),
        Some(refusal) => incomplete(refusal.to_string()),
        None => incomplete(format!("status {status}")),
    }
}

fn incomplete(why: impl Into<String>) -> Failure {
    Failure::Incomplete(why.into())
}

/// The progress of the transfers at one host.
struct Progress {
    on_progress: OnProgress,
    advanced_at: Cell<Instant>,
}

impl Progress {
    fn new(on_progress: OnProgress) -> Self {
        Self {
            on_progress,
            advanced_at: Cell::new(Instant::now()),
        }
    }

    fn advance(&self, transfer: Transfer) {
        self.advanced_at.set(Instant::now());
        (self.on_progress)(transfer);
    }

    /// Waits for `step`; none if there is no progress for [`STALL_TIMEOUT`].
    async fn unless_stalled<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(step);
        loop {
            let stalled_at = self.advanced_at.get() + STALL_TIMEOUT;
            tokio::select! {
                result = &mut step => return Some(result),
                () = sleep_until(stalled_at) => {
                    if self.advanced_at.get() + STALL_TIMEOUT <= Instant::now() {
                        return None;
                    }
                }
            }
        }
    }
}

/// A document that is being sent.
struct Upload {
    total: usize,
    rest: Bytes,
    progress: Rc<Progress>,
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(CHUNK_BYTES);
        let chunk = self.rest.split_to(length);
        self.progress.advance(Transfer {
            bytes: self.total - self.rest.len(),
            total: Some(self.total),
        });
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
