//! Runs a request: claims its key, waits for a slot, sends it and stores the response.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use curlewlift_core::claim::Record;
use curlewlift_core::claim::Status;
use curlewlift_core::code::Code;
use curlewlift_core::code::Outcome;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;

use crate::rpc::ClaimCall;
use crate::rpc::ClaimReply;
use crate::rpc::Method;
use crate::rpc::ResponseChunk;

use super::claims;
use super::claims::ClaimError;
use super::issue;
use super::node::Node;
use super::node::lock;
use super::request::Request;
use super::schedule;
use super::send;
use super::send::AttemptOutcome;
use super::store::End;
use super::store::Head;
use super::store::Reader;
use super::store::StoredResponse;

/// Time limit for fetching a chunk of a response from the entry that holds it.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a refusal waits until the replicas have recorded it.
const RECORD_END_WAIT: Duration = Duration::from_millis(100);

/// Starts a request, or attaches to the response of an earlier one with the same key.
pub(super) fn start_or_attach(node: &Arc<Node>, request: Request) -> Result<Reader, Refusal> {
    let mut store = lock(&node.store);
    if let Some(stored) = store.get(request.key) {
        if stored.digest != request.digest {
            let detail = "the key was used with another body";
            return Err(Refusal::new(Code::OtherBody, detail));
        }
        node.timeline.note(
            Line::new(Kind::Repeated)
                .key(request.key)
                .detail("stored here"),
        );
        return Ok(stored.attach_reader());
    }
    let stored = Arc::new(StoredResponse::new(request.digest));
    store.insert(request.key, Arc::clone(&stored));
    let reader = stored.attach_reader();
    node.open_requests.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(run(Arc::clone(node), Arc::new(request), stored));
    Ok(reader)
}

async fn run(node: Arc<Node>, request: Arc<Request>, stored: Arc<StoredResponse>) {
    let time_left = request.deadline.since(node.now());
    let work = execute(&node, &request, &stored);
    let work = tokio::time::timeout(time_left, work);
    let end = if request.keyed {
        work.await
    } else {
        // The caller does not know the key, so nobody can fetch the response later.
        tokio::select! {
            end = work => end,
            () = stored.wait_abandoned() => {
                node.timeline.note(Line::new(Kind::CallerLeft).key(request.key));
                Ok(end_abandoned(&stored))
            }
        }
    };
    let end = end.unwrap_or_else(|_| end_late(&stored));
    finish(&node, &request, &stored, end).await;
}

/// The end of a request that is stopped before its response is complete. Once bytes of it may have
/// been sent, it is unknown whether it ran.
fn end_stopped(stored: &StoredResponse, code: Code, reason: &str) -> End {
    let sent = stored.is_sent();
    End {
        outcome: if sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        },
        refusal: Some(Refusal::new(code, reason)),
    }
}

fn end_abandoned(stored: &StoredResponse) -> End {
    end_stopped(
        stored,
        Code::Broken,
        "the caller left before the response was complete",
    )
}

fn end_late(stored: &StoredResponse) -> End {
    let code = if stored.is_sent() {
        Code::Late
    } else {
        Code::Expired
    };
    end_stopped(stored, code, "the deadline passed")
}

async fn execute(node: &Arc<Node>, request: &Arc<Request>, stored: &Arc<StoredResponse>) -> End {
    if request.keyed
        && let Some(record) = issue::record(&request.key_text, request.digest)
    {
        return copy_from_holder(node, request.key, stored, record).await;
    }
    let claim = claim(node, request);
    let grant = async {
        schedule::wait_for_slot(node, request, 0)
            .await
            .map_err(ClaimError::Refused)
    };
    let (mut grant, mut attempt) = match tokio::try_join!(grant, claim) {
        Ok((grant, ())) => (grant, 0),
        Err(ClaimError::AlreadyClaimed(record)) => {
            return copy_from_holder(node, request.key, stored, record).await;
        }
        Err(ClaimError::Refused(refusal)) => return end_refused(refusal),
    };
    loop {
        stored.mark_sent();
        match send::send(node, request, stored, grant).await {
            AttemptOutcome::Ended(end) => return end,
            AttemptOutcome::NotRun(refusal) => {
                stored.mark_not_sent();
                attempt += 1;
                let line = Line::new(Kind::TriedAgain).key(request.key);
                node.timeline.note(line.detail(&refusal));
                match schedule::wait_for_slot(node, request, attempt).await {
                    Ok(next) => grant = next,
                    Err(_) => return end_not_run(refusal),
                }
            }
        }
    }
}

/// Claims the key if the caller chose it. A key that this entry generated needs no claim.
async fn claim(node: &Arc<Node>, request: &Request) -> Result<(), ClaimError> {
    if request.keyed {
        claims::claim(node, request).await?;
    }
    Ok(())
}

/// The end of a request whose claim or slot was refused.
///
/// This request did not run. But if the record of the key is lost, an earlier request with the key
/// may have run, and then the outcome must not be reported as not-run.
fn end_refused(refusal: Refusal) -> End {
    match refusal.get_code() {
        Code::ClaimUnknown | Code::KeyTooOld => end_unknown(refusal),
        _ => end_not_run(refusal),
    }
}

fn end_not_run(refusal: Refusal) -> End {
    End {
        outcome: Outcome::NotRun,
        refusal: Some(refusal),
    }
}

async fn finish(node: &Arc<Node>, request: &Arc<Request>, stored: &StoredResponse, end: End) {
    let status = end.to_status();
    let outcome = end.outcome;
    let code = end
        .refusal
        .as_ref()
        .map_or(0, |refusal| refusal.get_code().number());
    if request.keyed && !stored.is_held_elsewhere() {
        let node = Arc::clone(node);
        let request = Arc::clone(request);
        let recorded =
            tokio::spawn(async move { claims::record_end(&node, &request, status).await });
        if outcome == Outcome::NotRun {
            // The replicas get the end before the caller does, so that a retry at another entry
            // finds the key free. The wait is limited, so that an unresponsive replica does not
            // delay the final response.
            let _ = tokio::time::timeout(RECORD_END_WAIT, recorded).await;
        }
    }
    lock(&node.store).record_end(request.key, outcome, node.now());
    stored.set_end(end);
    let kind = if outcome == Outcome::NotRun {
        Kind::Refused
    } else {
        Kind::Ended
    };
    let line = Line::new(kind).key(request.key).customer(&request.customer);
    node.timeline
        .note(line.detail(format_args!("code={code} outcome={outcome}")));
    metrics::counter!("curlewlift_requests_total", "outcome" => outcome.to_string()).increment(1);
    node.finished_requests.fetch_add(1, Ordering::Relaxed);
    node.open_requests.fetch_sub(1, Ordering::Relaxed);
}

/// Copies the response of the first request with the key from the entry that holds it.
async fn copy_from_holder(
    node: &Arc<Node>,
    key: id::Key,
    stored: &StoredResponse,
    record: Record,
) -> End {
    stored.mark_held_elsewhere();
    let line = Line::new(Kind::Repeated).key(key);
    node.timeline
        .note(line.detail(format_args!("holder={}", record.holder)));
    loop {
        let chunk = match fetch_chunk(node, key, stored.length() as u64, &record).await {
            Ok(chunk) => chunk,
            Err(refusal) if refusal.get_code() == Code::OtherBody => return end_not_run(refusal),
            Err(refusal) => return end_unknown(refusal),
        };
        if let Some((status, headers)) = chunk.head {
            stored.set_head(Head { status, headers });
        }
        if !stored.append(&chunk.bytes) {
            return end_unknown(Refusal::new(Code::Broken, "the response is too large"));
        }
        if let Some(Status::Ended { outcome, code }) = chunk.status {
            return end_of_first(outcome, code);
        }
    }
}

fn end_unknown(refusal: Refusal) -> End {
    End {
        outcome: Outcome::Unknown,
        refusal: Some(refusal),
    }
}

/// The end of a repeated request, from the recorded end of the first request with its key.
fn end_of_first(outcome: Outcome, code: u16) -> End {
    let code = Code::try_from(code).unwrap_or(Code::Internal);
    let detail = "the first request with this key ended with this code";
    let refusal = (code != Code::Done).then(|| Refusal::new(code, detail));
    End { outcome, refusal }
}

async fn fetch_chunk(
    node: &Arc<Node>,
    key: id::Key,
    from: u64,
    record: &Record,
) -> Result<ResponseChunk, Refusal> {
    let lost = || {
        let detail =
            "a request with this key may have run; the entry that held its response is gone";
        Refusal::new(Code::ClaimUnknown, detail)
    };
    let roster = node.wait_for_roster().await?;
    let holder = roster.get(&record.holder).ok_or_else(lost)?;
    if holder.incarnation != record.incarnation {
        return Err(lost());
    }
    let call = ClaimCall::FetchResponse {
        key,
        body: record.digest,
        from,
    };
    match node
        .rpc
        .call(holder.rpc, Method::Claim, &call, FETCH_TIMEOUT)
        .await
    {
        Ok(ClaimReply::ResponseChunk(Some(chunk))) => Ok(chunk),
        Ok(_) => Err(lost()),
        Err(refusal) if refusal.get_code() == Code::Unreachable => {
            // Whether the holder has ended or is only slow shows in the next view.
            tokio::time::sleep(Duration::from_millis(100)).await;
            Ok(ResponseChunk::default())
        }
        Err(refusal) => Err(refusal),
    }
}

/// Reads the response of a request that another entry holds.
pub(super) fn read_remote(node: &Arc<Node>, key: id::Key, record: Record) -> Reader {
    let stored = Arc::new(StoredResponse::new(record.digest));
    let reader = stored.attach_reader();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let end = copy_from_holder(&node, key, &stored, record).await;
        stored.set_end(end);
    });
    reader
}

/// The status of a request, from the entry that holds it.
pub(super) async fn holder_status(
    node: &Arc<Node>,
    key: id::Key,
    record: &Record,
) -> Result<Status, Refusal> {
    if record.holder == node.member.host && record.incarnation == node.member.incarnation {
        let end = lock(&node.store).get(key).map(|stored| stored.get_end());
        let end = end.ok_or_else(|| {
            Refusal::new(
                Code::UnknownKey,
                "the response of this request is no longer stored",
            )
        })?;
        return Ok(end.map_or(Status::Open, |end| end.to_status()));
    }
    let chunk = fetch_chunk(node, key, u64::MAX, record).await?;
    Ok(chunk.status.unwrap_or(Status::Open))
}
