//! A request's life: claimed, scheduled, sent, kept.

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
use super::claims::Stop;
use super::issue;
use super::kept::End;
use super::kept::Head;
use super::kept::Kept;
use super::kept::Reader;
use super::node::Node;
use super::node::lock;
use super::request::Request;
use super::schedule;
use super::send;
use super::send::Sent;

/// How long the holder of an answer may take to give a part of it.
const FETCH: Duration = Duration::from_secs(3);

/// How long a refusal may wait for the replicas to learn of it.
const TELL: Duration = Duration::from_millis(100);

/// Begins a request, or finds the answer of the first one with its key.
pub(super) fn begin(node: &Arc<Node>, request: Request) -> Result<Reader, Refusal> {
    let mut store = lock(&node.store);
    if let Some(kept) = store.get(request.key) {
        if kept.digest != request.digest {
            let why = "the key was used with another body";
            return Err(Refusal::new(Code::OtherBody, why));
        }
        node.timeline.note(
            Line::new(Kind::Repeated)
                .key(request.key)
                .detail("kept here"),
        );
        return Ok(kept.attach());
    }
    let kept = Arc::new(Kept::new(request.digest));
    store.put(request.key, Arc::clone(&kept));
    let reader = kept.attach();
    node.open_requests.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(run(Arc::clone(node), Arc::new(request), kept));
    Ok(reader)
}

async fn run(node: Arc<Node>, request: Arc<Request>, kept: Arc<Kept>) {
    let left = request.deadline.since(node.now());
    let work = work(&node, &request, &kept);
    let work = tokio::time::timeout(left, work);
    let end = if request.keyed {
        work.await
    } else {
        // Nobody can come back for an answer whose key only this entry knows.
        tokio::select! {
            end = work => end,
            () = kept.abandoned() => {
                node.timeline.note(Line::new(Kind::CallerLeft).key(request.key));
                Ok(left_behind(&kept))
            }
        }
    };
    let end = end.unwrap_or_else(|_| late(&kept));
    finish(&node, &request, &kept, end).await;
}

/// What is known where work was given up: with a head, bytes had gone out.
fn given_up(kept: &Kept, code: Code, why: &str) -> End {
    let sent = kept.is_sent();
    End {
        outcome: if sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        },
        refusal: Some(Refusal::new(code, why)),
    }
}

fn left_behind(kept: &Kept) -> End {
    given_up(
        kept,
        Code::Broken,
        "the caller left before the answer was whole",
    )
}

fn late(kept: &Kept) -> End {
    let code = if kept.is_sent() {
        Code::Late
    } else {
        Code::Expired
    };
    given_up(kept, code, "the deadline passed")
}

async fn work(node: &Arc<Node>, request: &Arc<Request>, kept: &Arc<Kept>) -> End {
    if request.keyed
        && let Some(record) = issue::record(&request.key_text, request.digest)
    {
        return follow(node, request.key, kept, record).await;
    }
    let claim = claim(node, request);
    let grant = async {
        schedule::wait_for_slot(node, request, 0)
            .await
            .map_err(Stop::Refused)
    };
    let (mut grant, mut attempt) = match tokio::try_join!(grant, claim) {
        Ok((grant, ())) => (grant, 0),
        Err(Stop::Earlier(record)) => return follow(node, request.key, kept, record).await,
        Err(Stop::Refused(refusal)) => return refused(refusal),
    };
    loop {
        kept.sent();
        match send::send(node, request, kept, grant).await {
            Sent::Ended(end) => return end,
            Sent::NotRun(refusal) => {
                kept.not_sent();
                attempt += 1;
                let line = Line::new(Kind::TriedAgain).key(request.key);
                node.timeline.note(line.detail(&refusal));
                match schedule::wait_for_slot(node, request, attempt).await {
                    Ok(next) => grant = next,
                    Err(_) => return not_run(refusal),
                }
            }
        }
    }
}

/// Claims the key, if anyone but this entry could bring it.
async fn claim(node: &Arc<Node>, request: &Request) -> Result<(), Stop> {
    if request.keyed {
        claims::claim(node, request).await?;
    }
    Ok(())
}

/// The end of a request whose key or turn was refused.
///
/// This time nothing ran; but where the key's record is gone an earlier one may have, and nobody
/// must be told that it did not.
fn refused(refusal: Refusal) -> End {
    match refusal.get_code() {
        Code::ClaimUnknown | Code::KeyTooOld => unknown(refusal),
        _ => not_run(refusal),
    }
}

fn not_run(refusal: Refusal) -> End {
    End {
        outcome: Outcome::NotRun,
        refusal: Some(refusal),
    }
}

async fn finish(node: &Arc<Node>, request: &Arc<Request>, kept: &Kept, end: End) {
    let fate = end.to_status();
    let outcome = end.outcome;
    let code = end
        .refusal
        .as_ref()
        .map_or(0, |why| why.get_code().number());
    if request.keyed && !kept.is_followed() {
        let node = Arc::clone(node);
        let request = Arc::clone(request);
        let told = tokio::spawn(async move { claims::end(&node, &request, fate).await });
        if outcome == Outcome::NotRun {
            // Told before the caller is, so that a resend elsewhere finds its key free; but a
            // replica that does not answer holds up no final word.
            let _ = tokio::time::timeout(TELL, told).await;
        }
    }
    lock(&node.store).end(request.key, outcome, node.now());
    kept.end(end);
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

/// Passes on the answer of the first request with the key, from the entry that holds it.
async fn follow(node: &Arc<Node>, key: id::Key, kept: &Kept, record: Record) -> End {
    kept.follow();
    let line = Line::new(Kind::Repeated).key(key);
    node.timeline
        .note(line.detail(format_args!("holder={}", record.holder)));
    loop {
        let piece = match fetch(node, key, kept.length() as u64, &record).await {
            Ok(piece) => piece,
            Err(refusal) if refusal.get_code() == Code::OtherBody => return not_run(refusal),
            Err(refusal) => return unknown(refusal),
        };
        if let Some((status, headers)) = piece.head {
            kept.begin(Head { status, headers });
        }
        if !kept.add(&piece.bytes) {
            return unknown(Refusal::new(Code::Broken, "the answer is too large"));
        }
        if let Some(Status::Ended { outcome, code }) = piece.status {
            return ended(outcome, code);
        }
    }
}

fn unknown(refusal: Refusal) -> End {
    End {
        outcome: Outcome::Unknown,
        refusal: Some(refusal),
    }
}

fn ended(outcome: Outcome, code: u16) -> End {
    let code = Code::try_from(code).unwrap_or(Code::Internal);
    let why = "the first request with this key ended so";
    let refusal = (code != Code::Done).then(|| Refusal::new(code, why));
    End { outcome, refusal }
}

async fn fetch(
    node: &Arc<Node>,
    key: id::Key,
    from: u64,
    record: &Record,
) -> Result<ResponseChunk, Refusal> {
    let lost = || {
        let why = "a request with this key may have run; the entry that held its answer is gone";
        Refusal::new(Code::ClaimUnknown, why)
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
    match node.rpc.call(holder.rpc, Method::Claim, &call, FETCH).await {
        Ok(ClaimReply::ResponseChunk(Some(piece))) => Ok(piece),
        Ok(_) => Err(lost()),
        Err(why) if why.get_code() == Code::Unreachable => {
            // Gone or only slow: the next view tells.
            tokio::time::sleep(Duration::from_millis(100)).await;
            Ok(ResponseChunk::default())
        }
        Err(why) => Err(why),
    }
}

/// Collects the answer of a request that another entry holds.
pub(super) fn collect(node: &Arc<Node>, key: id::Key, record: Record) -> Reader {
    let kept = Arc::new(Kept::new(record.digest));
    let reader = kept.attach();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let end = follow(&node, key, &kept, record).await;
        kept.end(end);
    });
    reader
}

/// What the entry that drew `key` knows of its request.
pub(super) async fn state(
    node: &Arc<Node>,
    key: id::Key,
    record: &Record,
) -> Result<Status, Refusal> {
    if record.holder == node.member.host && record.incarnation == node.member.incarnation {
        let end = lock(&node.store).get(key).map(|kept| kept.get_end());
        let end = end.ok_or_else(|| Refusal::new(Code::UnknownKey, "its answer is not kept"))?;
        return Ok(end.map_or(Status::Open, |end| end.to_status()));
    }
    let piece = fetch(node, key, u64::MAX, record).await?;
    Ok(piece.status.unwrap_or(Status::Open))
}
