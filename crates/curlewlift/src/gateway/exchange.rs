//! One request to one backend server, over a connection of its own.
//!
//! A connection that carries one request only cannot bring it the late rest of another's answer,
//! and closing it tells the server that nobody waits any more.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::response;
use bytes::Bytes;
use curlewlift_core::pool::AttemptOutcome;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::deadline::Deadline;
use super::dialect::Dialect;
use super::dialect::Marks;
use super::slot::Slot;

/// How long a connection may take to be made.
///
/// Three losses of the opening packet's answer between data halls are over by then; a live server
/// takes a millisecond.
const CONNECT: Duration = Duration::from_millis(700);

/// The largest answer that is read whole before it is passed on, in bytes; larger ones are passed
/// on as they come.
const WHOLE: u64 = 256 << 10;

/// The largest answer without a stated length that is read whole, in bytes: several of them at once
/// must not fill a small host's memory.
const LARGEST: usize = 4 << 20;

/// A connection, open until this is dropped: that ends its task, and with it the connection.
pub(super) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why there is no answer.
#[derive(Debug)]
pub(super) enum Failure {
    /// The request surely did not reach the server.
    NotSent(String),
    /// It was not sent: the server has said meanwhile that it wants none from this host.
    Closed,
    /// The server said that it did not run it; `moved` where another incarnation has the address.
    NotRun { moved: bool, status: u16 },
    /// It may have run, and the server broke off.
    Broke(String),
    /// It may have run.
    Unknown(String),
    /// It may have run, and the time was up.
    Late,
}

/// The head of an answer that is still coming.
pub(super) struct Coming {
    pub(super) head: response::Parts,
    pub(super) marks: Marks,
    pub(super) body: Incoming,
    pub(super) slot: Slot,
    connection: Connection,
    /// From the sending to the head.
    pub(super) first: Duration,
}

/// Sends the request that `dress` makes to the server of `slot`, and waits for the head of the answer.
///
/// It is made once the connection is there: a host may be suspended meanwhile, and a server must not be given
/// more time than is left.
///
/// # Errors
///
/// What is known of the request's fate, with the place, for the caller to say how it ended.
pub(super) async fn send(
    dress: impl FnOnce(&Slot) -> Request<Full<Bytes>>,
    slot: Slot,
    dialect: Dialect,
    deadline: &Deadline,
    quiet: Duration,
) -> Result<Coming, (Failure, Slot)> {
    let made = connect(slot.server.address, CONNECT.min(deadline.left())).await;
    let (mut sender, connection) = match made {
        Ok(made) => made,
        Err(failure) => return Err((failure, slot)),
    };
    if deadline.is_past() {
        let why = "the deadline passed before it was sent".to_owned();
        return Err((Failure::NotSent(why), slot));
    }
    // Up to 0.7 s after it was chosen, by whomever: the last look is here, for all that is sent.
    if slot.is_unavailable() {
        return Err((Failure::Closed, slot));
    }
    let request = dress(&slot);
    let until = deadline.timer();
    let began = Instant::now();
    match ask(&mut sender, request, &slot, until, quiet).await {
        Ok(answer) => Ok(coming(answer, slot, connection, dialect, began.elapsed())),
        Err(failure) => Err((failure, slot)),
    }
}

/// A connection to `address`, made within `patience`.
async fn connect(
    address: SocketAddr,
    patience: Duration,
) -> Result<(SendRequest<Full<Bytes>>, Connection), Failure> {
    let connect = tokio::time::timeout(patience, TcpStream::connect(address)).await;
    let stream = connect
        .map_err(|_| Failure::NotSent("no connection in time".to_owned()))?
        .map_err(|why| Failure::NotSent(why.to_string()))?;
    crate::process::watch_connection(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|why| Failure::NotSent(why.to_string()))?;
    let connection = Connection(tokio::task::spawn_local(async move {
        if let Err(why) = connection.await {
            log::debug!("a connection to {address} has ended: {why}");
        }
    }));
    Ok((sender, connection))
}

/// Sends `request` and waits for the head; a server that is silent for longer than `quiet` is known
/// as such meanwhile.
async fn ask(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    slot: &Slot,
    until: Instant,
    quiet: Duration,
) -> Result<Response<Incoming>, Failure> {
    let early = until.min(Instant::now() + quiet);
    let mut answer = std::pin::pin!(sender.send_request(request));
    let answer = if let Ok(answer) = tokio::time::timeout_at(early, &mut answer).await {
        answer
    } else {
        if Instant::now() < until {
            slot.observe(AttemptOutcome::TimedOut);
        }
        let late = tokio::time::timeout_at(until, answer).await;
        late.map_err(|_| Failure::Late)?
    };
    answer.map_err(|why| Failure::Broke(why.to_string()))
}

fn coming(
    answer: Response<Incoming>,
    mut slot: Slot,
    connection: Connection,
    dialect: Dialect,
    first: Duration,
) -> Coming {
    slot.record_first_byte();
    let (head, body) = answer.into_parts();
    let marks = (dialect.marks)(head.status.as_u16(), &head.headers);
    if let Some(in_flight) = marks.in_flight {
        slot.update_load(in_flight);
    }
    // Another incarnation that has the address speaks for itself.
    if !marks.moved {
        slot.record_notices(&marks.notices);
        slot.record_limit(&marks.limit);
    }
    Coming {
        head,
        marks,
        body,
        slot,
        connection,
        first,
    }
}

impl Coming {
    /// Whether the head says that the request did not run.
    pub(super) fn refusal(&self) -> Option<Failure> {
        let status = self.head.status.as_u16();
        let moved = self.marks.moved;
        (self.marks.not_run || moved).then_some(Failure::NotRun { moved, status })
    }

    /// Why the head cannot be an answer to the request with the name `id`, if so.
    pub(super) fn foreign(&self, id: Option<&HeaderValue>) -> Option<&'static str> {
        if self.marks.id.as_ref() != id {
            return Some("the answer is to another request");
        }
        if self.head.status.is_success() && !self.marks.signed {
            return Some("the answer is not vouched for");
        }
        if self.head.status.is_informational()
            || self.head.status == StatusCode::SWITCHING_PROTOCOLS
        {
            return Some("the answer is none");
        }
        None
    }

    /// Whether the body is small enough to be read before it is passed on.
    pub(super) fn is_small(&self) -> bool {
        self.body
            .size_hint()
            .upper()
            .is_none_or(|upper| upper <= WHOLE)
    }

    /// The whole body; nothing of it is passed on before its end is there.
    pub(super) async fn whole(
        mut self,
        until: Instant,
    ) -> (response::Parts, Result<Bytes, Failure>, Slot, Duration) {
        let read = read(&mut self.body);
        let body = match tokio::time::timeout_at(until, read).await {
            Ok(body) => body,
            Err(_) => Err(Failure::Late),
        };
        drop(self.connection);
        (self.head, body, self.slot, self.first)
    }

    /// The parts for a body that is passed on as it comes; the connection ends with it.
    pub(super) fn open(self) -> (response::Parts, Incoming, Slot, Connection) {
        (self.head, self.body, self.slot, self.connection)
    }
}

async fn read(body: &mut Incoming) -> Result<Bytes, Failure> {
    let collected = Limited::new(body, LARGEST).collect().await;
    let collected = collected.map_err(|why| {
        if why.is::<LengthLimitError>() {
            Failure::Unknown(why.to_string())
        } else {
            Failure::Broke(why.to_string())
        }
    })?;
    Ok(collected.to_bytes())
}
