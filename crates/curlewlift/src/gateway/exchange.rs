//! Sends one request to one backend server, over a separate connection.
//!
//! A connection that carries only one request cannot deliver the late remainder of another response,
//! and closing it tells the server that nobody waits for the response any more.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::Response;
use axum::http::header;
use axum::http::response;
use bytes::Bytes;
use bytes::BytesMut;
use curlewlift_core::response::BUFFER_BYTES;
use curlewlift_core::response::DataEnd;
use curlewlift_core::response::FINAL_STATUSES;
use curlewlift_core::route;
use curlewlift_core::sse;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::connect::ConnectError;
use super::connect::Opened;
use super::deadline::Deadline;
use super::dialect::Dialect;
use super::dialect::ResponseHead;
use super::received;
use super::received::Limited;
use super::received::Received;
use super::slot::Slot;

/// Maximum time for establishing a connection.
///
/// It covers three lost replies to the opening packet between data halls; a live server accepts within a
/// millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of a response that is buffered before it is forwarded, in bytes; larger ones are streamed.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// An open connection. Dropping it ends the task that drives the connection, and thereby closes it.
pub(super) struct Connection {
    task: JoinHandle<()>,
    /// What has arrived over it.
    pub(super) received: Arc<Received>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why there is no response.
#[derive(Debug)]
pub(super) enum Failure {
    /// The request certainly did not reach the server, which accepts no connections.
    NotSent(String),
    /// The request certainly did not reach the server, as this host has no path to it.
    NoPath(String),
    /// It was not sent: meanwhile the server became unavailable to this host, for example by asking for a backoff.
    ServerUnavailable,
    /// It was not sent: it is a retry, and meanwhile the retry budget was used up.
    RetryDenied,
    /// It was not sent: this gateway stops, and might end before the request does.
    Stopping,
    /// The server reported that it did not run the request; `moved` if another incarnation has the address.
    NotRun { moved: bool, status: u16 },
    /// It may have run, and the server closed the connection before the response was complete.
    ConnectionLost(String),
    /// It may have run, and the server ended its response inside an event.
    EndedInEvent,
    /// It may have run, and this host lost its path to the server before the response was complete.
    PathLost(String),
    /// It may have run, and the response cannot be used.
    Unknown(String),
    /// It may have run, and the deadline passed.
    DeadlinePassed,
}

impl From<hyper::Error> for Failure {
    fn from(error: hyper::Error) -> Self {
        match received::no_response(&error) {
            Some(why) => Self::Unknown(why),
            None => Self::ConnectionLost(error.to_string()),
        }
    }
}

/// How a server marks the end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By its length.
    Length,
    /// By the last of its chunks.
    Chunks,
    /// By the end of the connection, which does not tell a complete response from one that broke off.
    Close,
}

impl Framing {
    /// Its name in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

/// A response whose head has arrived, and whose body is still to be read.
pub(super) struct ResponseStart {
    pub(super) head: response::Parts,
    /// The parsed status and header fields of `head`.
    pub(super) head_fields: ResponseHead,
    pub(super) body: Incoming,
    /// What has been read of the body already.
    pub(super) begun: Bytes,
    pub(super) slot: Slot,
    pub(super) connection: Connection,
    /// Time from sending the request to receiving the head.
    pub(super) first_byte: Duration,
}

/// Sends the request that `prepare` returns to the server of `slot`, and waits for the head of the response. `prepare`
/// charges a retry to the retry budget, and says why the request must not be sent if it must not.
///
/// The request is prepared after the connection is established: the host may be suspended meanwhile, the server must
/// not be given more time than is left, and a retry counts in the window in which it is sent.
///
/// # Errors
///
/// Returns whether the request may have run, with the slot, so that the caller can record the attempt's outcome.
pub(super) async fn send(
    prepare: impl FnOnce(&Slot) -> Result<Request<Full<Bytes>>, Failure>,
    slot: Slot,
    dialect: Dialect,
    deadline: &Deadline,
    silence_limit: Duration,
) -> Result<ResponseStart, (Failure, Slot)> {
    let time_limit = CONNECT_TIMEOUT.min(deadline.remaining());
    let connected = connect(&slot, time_limit).await;
    let (mut sender, connection) = match connected {
        Ok(connected) => connected,
        Err(failure) => return Err((failure, slot)),
    };
    if deadline.is_past() {
        let error = "the deadline passed before the request was sent".to_owned();
        return Err((Failure::NotSent(error), slot));
    }
    // Up to 0.7 s have passed since the hub or this gateway chose the server. Every request passes this last check.
    if slot.is_unavailable() {
        return Err((Failure::ServerUnavailable, slot));
    }
    let mut request = match prepare(&slot) {
        Ok(request) => request,
        Err(failure) => return Err((failure, slot)),
    };
    let received = Arc::clone(&connection.received);
    hyper::ext::on_informational(&mut request, move |_| received.use_interim());
    let until = deadline.timer_instant();
    let mut slot = slot;
    slot.record_sent(Arc::clone(&connection.received));
    let sent_at = Instant::now();
    let response = await_head(&mut sender, request, &slot, until, silence_limit).await;
    match response {
        Ok(response) => Ok(response_start(
            response,
            slot,
            connection,
            dialect,
            sent_at.elapsed(),
        )),
        Err(failure) => Err((explain(failure, &slot).await, slot)),
    }
}

/// Connects to the server of `slot` within `time_limit`.
async fn connect(
    slot: &Slot,
    time_limit: Duration,
) -> Result<(SendRequest<Full<Bytes>>, Connection), Failure> {
    match slot.connect(Instant::now() + time_limit).await {
        Ok(Opened::Direct(stream)) => handshake(stream, slot).await,
        Ok(Opened::Tunnel(tunnel, host)) => {
            slot.log_tunnel(host);
            handshake(tunnel, slot).await
        }
        Err(ConnectError::ServerDown(why)) => Err(Failure::NotSent(why)),
        Err(ConnectError::NoPath(why)) => Err(Failure::NoPath(why)),
    }
}

/// Begins to speak HTTP on a connection to the server of `slot`.
async fn handshake<T>(io: T, slot: &Slot) -> Result<(SendRequest<Full<Bytes>>, Connection), Failure>
where
    T: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let node = slot.get_node();
    let received = Arc::new(Received::default());
    let limited = Limited::new(io, Arc::clone(&received), Rc::clone(node));
    let io = TokioIo::new(limited);
    let mut builder = http1::Builder::new();
    let handshake = builder.max_buf_size(BUFFER_BYTES).handshake(io);
    let (sender, connection) = handshake
        .await
        .map_err(|error| Failure::NotSent(error.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("the connection to a server failed: {error}");
        }
    });
    Ok((sender, Connection { task, received }))
}

/// Sends `request` and waits for the head of the response. A server that is silent for longer than `silence_limit`
/// is recorded as timed out, while the wait goes on.
async fn await_head(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    slot: &Slot,
    until: Instant,
    silence_limit: Duration,
) -> Result<Response<Incoming>, Failure> {
    let silent_at = until.min(Instant::now() + silence_limit);
    let mut response = std::pin::pin!(sender.send_request(request));
    let response = if let Ok(response) = tokio::time::timeout_at(silent_at, &mut response).await {
        response
    } else {
        if Instant::now() < until {
            slot.record_silence();
        }
        let response = tokio::time::timeout_at(until, response).await;
        response.map_err(|_| Failure::DeadlinePassed)?
    };
    response.map_err(Failure::from)
}

/// Tells whether a connection was lost by the fault of the server of `slot`, or of this host's path to it.
pub(super) async fn explain(failure: Failure, slot: &Slot) -> Failure {
    match failure {
        Failure::ConnectionLost(why) if slot.is_path_lost().await => Failure::PathLost(why),
        failure => failure,
    }
}

/// Records what the head of a response announces about its server, and returns the response with its body unread.
fn response_start(
    response: Response<Incoming>,
    mut slot: Slot,
    connection: Connection,
    dialect: Dialect,
    first_byte: Duration,
) -> ResponseStart {
    slot.record_first_byte();
    connection.received.use_data(DataEnd::Boundary);
    let (head, body) = response.into_parts();
    let head_fields = (dialect.parse_response)(head.status.as_u16(), &head.headers);
    if let Some(load) = head_fields.load {
        slot.record_load(load);
    }
    // Announcements of another incarnation at this address do not apply to the intended server.
    if !head_fields.moved {
        slot.record_notices(&head_fields.notices);
        slot.record_limit(&head_fields.limit);
        slot.record_rejection_limit(head_fields.rejection_limit);
    }
    ResponseStart {
        head,
        head_fields,
        body,
        begun: Bytes::new(),
        slot,
        connection,
        first_byte,
    }
}

impl ResponseStart {
    /// The failure, if the head says that the request did not run.
    pub(super) fn not_run_failure(&self) -> Option<Failure> {
        let status = self.head.status.as_u16();
        let moved = self.head_fields.moved;
        (self.head_fields.not_run || moved).then_some(Failure::NotRun { moved, status })
    }

    /// Why the head cannot belong to a response to the request with the id `id`, if it cannot.
    pub(super) fn mismatch(&self, id: Option<&HeaderValue>) -> Option<&'static str> {
        if self.head_fields.id.as_ref() != id {
            return Some("the response belongs to another request");
        }
        if self.head.status.is_success() && !self.head_fields.signed {
            return Some("the response is not signed");
        }
        if !FINAL_STATUSES.contains(&self.head.status.as_u16()) {
            return Some("the response has no final status");
        }
        None
    }

    /// How the server marks the end of the response.
    pub(super) fn framing(&self) -> Framing {
        let headers = &self.head.headers;
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Framing::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Close
        }
    }

    /// Whether the body consists of server-sent events. Where the server doesn't state its media type, a body without a
    /// stated length does if the `kind` of the rule is a stream.
    pub(super) fn is_event_stream(&self, kind: route::Kind) -> bool {
        let headers = &self.head.headers;
        if headers.contains_key(header::CONTENT_ENCODING) {
            return false;
        }
        let Some(media_type) = headers.get(header::CONTENT_TYPE) else {
            let is_stream = kind.is_stream() && self.head.status.is_success();
            return is_stream && self.framing() != Framing::Length;
        };
        let essence = media_type.as_bytes().split(|byte| *byte == b';').next();
        essence.is_some_and(|essence| {
            essence
                .trim_ascii()
                .eq_ignore_ascii_case(sse::MEDIA_TYPE.as_bytes())
        })
    }

    /// Whether the body may be buffered before it is forwarded, by its stated length.
    pub(super) fn is_bufferable(&self) -> bool {
        self.body
            .size_hint()
            .upper()
            .is_none_or(|upper| upper <= MAX_BUFFERED_BYTES as u64)
    }

    /// Reads the whole body, so that nothing is forwarded before its end has arrived. Returns nothing if it is too large to
    /// be buffered; what has been read of it is kept, to be forwarded before the rest.
    ///
    /// # Errors
    ///
    /// If the body broke off, which includes that a stream of events ends inside one, or is not complete at the time
    /// `until`.
    pub(super) async fn read_full(
        &mut self,
        kind: route::Kind,
        until: Instant,
    ) -> Result<Option<Bytes>, Failure> {
        let mut events = self.is_event_stream(kind).then(sse::Decoder::default);
        let mut body = BytesMut::new();
        while body.len() <= MAX_BUFFERED_BYTES {
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = tokio::time::sleep_until(until) => return Err(Failure::DeadlinePassed),
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.slot.record_data();
                        body.extend_from_slice(&data);
                        let end = data_end(events.as_mut(), &data);
                        self.connection.received.use_data(end);
                    }
                }
                Some(Err(error)) => {
                    return Err(explain(error.into(), &self.slot).await);
                }
                None if events.as_ref().is_none_or(sse::Decoder::is_at_boundary) => {
                    return Ok(Some(body.freeze()));
                }
                None => return Err(Failure::EndedInEvent),
            }
        }
        self.begun = body.freeze();
        Ok(None)
    }
}

/// Where `data` of a body ends, which may consist of events.
fn data_end(events: Option<&mut sse::Decoder>, data: &[u8]) -> DataEnd {
    let Some(events) = events else {
        return DataEnd::Boundary;
    };
    events.push(data);
    while events.next_event().is_some() {}
    events.data_end()
}
