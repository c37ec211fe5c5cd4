//! Passes a stream on as it comes, and takes it up at another server where it breaks and may be.

use std::sync::Arc;
use std::time::Duration;

use axum::http::StatusCode;
use bytes::Bytes;
use curlewlift_core::event::Kind;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::route;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::body::Cut;
use super::body::Reply;
use super::events::Events;
use super::exchange;
use super::exchange::Coming;
use super::exchange::Connection;
use super::exchange::Failure;
use super::judge;
use super::log::Line;
use super::run::Run;
use super::slot::Slot;

/// A stream that is being passed on.
struct Relay {
    run: Run,
    body: Incoming,
    slot: Option<Slot>,
    /// The connection that `body` comes over.
    connection: Option<Connection>,
    /// Splits a stream that can be taken up; none for any other.
    events: Option<Events>,
    /// From the last sending to the head of its answer.
    first: Duration,
    /// When the last head came.
    began: Instant,
    /// Pieces that came since.
    pieces: u32,
    /// When the last piece went to the caller; none before the first.
    last: Option<Instant>,
    /// The longest time between two pieces for the caller.
    longest: Duration,
    /// Whether the caller has been told its end, or that there is none.
    ended: bool,
}

/// The body of a stream.
pub(super) fn body(run: Run, coming: Coming) -> Reply {
    let first = coming.first;
    let resumable = run.admitted.rule.kind == route::Kind::Resumable;
    let (_, body, slot, connection) = coming.open();
    let relay = Relay {
        run,
        body,
        slot: Some(slot),
        connection: Some(connection),
        events: resumable.then(Events::default),
        first,
        began: Instant::now(),
        pieces: 0,
        last: None,
        longest: Duration::ZERO,
        ended: false,
    };
    let pieces = futures::stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece.map(Frame::data), relay))
    });
    Box::pin(StreamBody::new(pieces))
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            Line::new(Kind::CallerLeft)
                .request(self.run.admitted.call.id.as_ref())
                .with("pieces", self.pieces)
                .after(self.run.admitted.deadline.age())
                .write();
        }
    }
}

impl Relay {
    /// The next piece for the caller; none at the end.
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        while !self.ended {
            let until = self.run.admitted.deadline.timer();
            let Ok(frame) = tokio::time::timeout_at(until, self.body.frame()).await else {
                return Some(Err(self.cut("the deadline has passed".to_owned())));
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(piece) = self.piece(data) {
                        self.pass();
                        return Some(Ok(piece));
                    }
                }
                Some(Err(why)) => {
                    if let Some(slot) = &mut self.slot {
                        slot.set_crashed();
                    }
                    if !self.take_up(&why.to_string()).await {
                        return Some(Err(self.cut(why.to_string())));
                    }
                }
                None => return self.finish().map(Ok),
            }
        }
        None
    }

    /// What of `data` may be passed on now: of a stream that can be taken up, whole events.
    fn piece(&mut self, data: Bytes) -> Option<Bytes> {
        self.pieces += 1;
        let Some(events) = &mut self.events else {
            return Some(data);
        };
        let whole = events.take(&data);
        (!whole.is_empty()).then_some(whole)
    }

    /// Takes note that a piece goes to the caller.
    fn pass(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last.replace(now) {
            self.longest = self.longest.max(now - last);
        }
    }

    /// The stream has come to its end.
    fn finish(&mut self) -> Option<Bytes> {
        self.ended = true;
        let gaps = self.pieces.saturating_sub(1);
        let gap = (gaps > 0).then(|| self.began.elapsed() / gaps);
        if let Some(slot) = &mut self.slot {
            slot.set_completed(AttemptOutcome::Answered {
                first_byte: self.first,
                gap,
            });
        }
        self.slot = None;
        let status = StatusCode::OK.as_u16();
        self.run
            .log_end(status, "stream", Some((self.pieces, self.longest)));
        let rest = self.events.as_mut().map(Events::rest)?;
        (!rest.is_empty()).then_some(rest)
    }

    /// The stream cannot go on.
    fn cut(&mut self, why: String) -> Cut {
        self.ended = true;
        if let Some(slot) = &mut self.slot
            && !self.run.admitted.deadline.is_past()
        {
            slot.set_outcome(AttemptOutcome::Broken);
        }
        self.slot = None;
        self.connection = None;
        Line::new(Kind::Ended)
            .request(self.run.admitted.call.id.as_ref())
            .with("identity", self.run.admitted.identity.to_string())
            .with("server", self.run.tried.last().map(|server| &**server))
            .with("how", "cut")
            .with("why", why.as_str())
            .with("pieces", self.pieces)
            .after(self.run.admitted.deadline.age())
            .write();
        metrics::counter!("curlewlift_cut").increment(1);
        Cut(why)
    }

    /// Goes on at another server after a break; false where that cannot be.
    async fn take_up(&mut self, why: &str) -> bool {
        let Some(after) = self.events.as_mut().map(Events::broke) else {
            return false;
        };
        self.slot = None;
        // The former server must have stopped before another goes on.
        self.connection = None;
        while self.run.sendings() < self.run.admitted.rule.attempts {
            self.run.passed += 1;
            let Ok(slot) = self.run.turn().await else {
                continue;
            };
            if !self.run.take_budget(&slot) {
                return false;
            }
            let Some(coming) = self.other(slot, after.as_deref()).await else {
                continue;
            };
            Line::new(Kind::Resumed)
                .request(self.run.admitted.call.id.as_ref())
                .with("identity", self.run.admitted.identity.to_string())
                .with("server", &*coming.slot.server.incarnation)
                .with("after_event", after.as_deref())
                .with("why", why)
                .write();
            self.go_on(coming);
            return true;
        }
        false
    }

    /// Takes `coming` for the stream from now on.
    fn go_on(&mut self, coming: Coming) {
        self.began = Instant::now();
        self.pieces = 0;
        self.first = coming.first;
        let (_, body, slot, connection) = coming.open();
        self.body = body;
        self.slot = Some(slot);
        self.connection = Some(connection);
    }

    /// Asks the server of `slot` for the stream after the event `after`.
    async fn other(&mut self, slot: Slot, after: Option<&str>) -> Option<Coming> {
        let server = Arc::clone(&slot.server.incarnation);
        self.run.tried.push(server);
        let dress = |slot: &Slot| self.run.request(slot, after);
        let deadline = &self.run.admitted.deadline;
        let quiet = self.run.quiet();
        let dialect = self.run.node.dialect;
        let sent = exchange::send(dress, slot, dialect, deadline, quiet).await;
        let mut coming = match sent {
            Ok(coming) => coming,
            Err((failure, mut slot)) => {
                slot.set_outcome(judge::meaning(&failure).0);
                if matches!(failure, Failure::Broke(_)) {
                    slot.set_crashed();
                }
                return None;
            }
        };
        let foreign = coming.foreign(self.run.admitted.call.id.as_ref()).is_some();
        if foreign || coming.head.status != StatusCode::OK {
            let refusal = coming.refusal();
            let end = refusal.map_or(AttemptOutcome::Broken, |refusal| judge::meaning(&refusal).0);
            coming.slot.set_outcome(end);
            return None;
        }
        Some(coming)
    }
}
