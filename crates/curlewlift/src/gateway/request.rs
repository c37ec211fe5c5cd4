//! One request, from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::Response;
use axum::http::header;
use axum::http::response;
use bytes::Bytes;
use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;
use curlewlift_core::id;
use curlewlift_core::pool::Ask;
use curlewlift_core::pool::End;
use curlewlift_core::unit::Tokens;
use hyper::body::Incoming;
use rand::RngExt;
use tokio::time::Instant;

use super::admit;
use super::admit::Admitted;
use super::body::Answer;
use super::body::whole;
use super::dialect::Hand;
use super::exchange;
use super::exchange::Coming;
use super::exchange::Failure;
use super::log::Line;
use super::node::Node;
use super::refuse;
use super::refuse::Refused;
use super::relay;
use super::sending;
use super::stop;
use super::turn;
use super::turn::NoTurn;
use super::turn::Place;

/// How long a server may say nothing before it is thought to be silent: three times the time
/// within which an answer is wanted, and no less than this.
const QUIET: Duration = Duration::from_secs(1);

/// Sendings that a request may have beyond those its rule allows, where servers said that they
/// did not run it.
const FURTHER: u8 = 2;

/// When to come back to a service that is full: some requests' time at an engine.
const FULL: Duration = Duration::from_millis(300);

/// The part of the time within which an answer is wanted that a request may wait in line before
/// it is refused: an answer is still in time after that wait, and a caller that comes back has
/// lost little.
const IN_LINE: f64 = 0.25;

/// The part of what is left of its time that a request may wait in line at the most.
const LEFT: f64 = 0.5;

/// A request on its way.
pub(super) struct Run {
    pub(super) node: Rc<Node>,
    pub(super) admitted: Admitted,
    pub(super) service: id::Service,
    /// How often it was sent to a server that may have begun it.
    pub(super) sent: u8,
    /// How often a server said that it did not run it, or could not be reached.
    pub(super) passed: u8,
    /// Where it was sent.
    pub(super) tried: Vec<Arc<str>>,
    /// From the last sending to the head of the answer.
    pub(super) first: Option<Duration>,
    /// Whether its end is told, here or where its stream is passed on.
    pub(super) told: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.told {
            Line::new(Kind::CallerLeft)
                .request(self.admitted.call.id.as_ref())
                .with("sent", self.sent + self.passed)
                .with("server", self.tried.last().map(|server| &**server))
                .with("after_ms", millis(self.admitted.arrived.elapsed()))
                .write();
        }
    }
}

/// What a sending came to.
enum Step {
    Answer(Answer),
    Again,
}

/// Answers one request.
pub(super) async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    let arrived = Instant::now();
    metrics::counter!("curlewlift_requests").increment(1);
    let call = match (node.dialect.read)(request.headers()) {
        Ok(call) => call,
        Err(why) => return refused(None, &why.into()),
    };
    let id = call.id.clone();
    if let Some(again) = stop::turns_away(&node) {
        let refusal = Refused::new(Code::Leaving, "this gateway is stopping").again(again);
        return refused(id.as_ref(), &refusal);
    }
    let admitted = match admit::admit(&node, request, arrived, call).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refused(id.as_ref(), &refusal),
    };
    let lot = rand::rng().random();
    let Some(service) = admitted.rule.target(lot).cloned() else {
        return refused(
            id.as_ref(),
            &Refused::new(Code::NoServer, "the rule has no service"),
        );
    };
    let run = Run {
        node,
        admitted,
        service,
        sent: 0,
        passed: 0,
        tried: Vec::new(),
        first: None,
        told: false,
    };
    run.drive().await
}

fn refused(id: Option<&HeaderValue>, refused: &Refused) -> Answer {
    let code = refused.refusal.get_code();
    Line::new(Kind::Refused)
        .request(id)
        .with("code", code.number())
        .with("why", refused.refusal.get_detail())
        .with("again_ms", refused.again.map(millis))
        .write();
    metrics::counter!("curlewlift_refused", "code" => code.name()).increment(1);
    refuse::answer(&refused.refusal, refused.again)
}

/// Milliseconds for a log line.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Run {
    async fn drive(mut self) -> Answer {
        let now = self.node.now();
        self.node
            .with_pool(&self.service, |service| service.budget.first(now));
        loop {
            let place = match self.turn().await {
                Ok(place) => place,
                Err(refusal) => return self.refuse(&refusal),
            };
            if self.sent + self.passed > 0 && !self.may_repeat() {
                drop(place);
                let refusal = self.exhausted();
                return self.refuse(&refusal);
            }
            match self.send(place).await {
                Ok(Step::Answer(answer)) => return answer,
                Ok(Step::Again) => {}
                Err(refusal) => return self.refuse(&refusal),
            }
        }
    }

    /// Whether the service's budget has a further sending left.
    pub(super) fn may_repeat(&self) -> bool {
        let now = self.node.now();
        let gateways = self.node.hub.borrow().count;
        let taken = self
            .node
            .with_pool(&self.service, |service| service.budget.take(gateways, now));
        taken.unwrap_or(false)
    }

    /// Waits for a server.
    pub(super) async fn turn(&self) -> Result<Place, Refused> {
        let admitted = &self.admitted;
        let left = admitted.until.saturating_duration_since(Instant::now());
        let ask = Ask {
            rank: self.rank(),
            arrived: self.admitted.since,
            prompt: Tokens(admitted.call.tokens.map_or(0, |(prompt, _)| prompt)),
            tried: self.tried.clone(),
        };
        let wanted = admitted.rule.objective.mul_f64(IN_LINE);
        let patience = left.mul_f64(LEFT).min(wanted);
        let turn = turn::wait(&self.node, &self.service, ask, patience).await;
        turn.map_err(|why| self.no_turn(why))
    }

    fn rank(&self) -> u8 {
        let account = self.admitted.account.as_ref();
        let rank = account.and_then(|account| account.rank);
        rank.unwrap_or(self.admitted.rule.rank)
    }

    /// The refusal of a request that got no server.
    fn no_turn(&self, why: NoTurn) -> Refused {
        if self.sent > 0 {
            return Refused::new(Code::Broken, "it broke off, and no other server is free");
        }
        let refused = match why {
            NoTurn::NoServer => Refused::new(Code::NoServer, "the service has no server"),
            NoTurn::Displaced => Refused::new(Code::Shed, "others of a higher tier wait"),
            NoTurn::TimeUp => Refused::new(Code::CannotFinish, "no server was free in time"),
        };
        refused.again(FULL)
    }

    /// The refusal of a request that may not be sent again.
    fn exhausted(&self) -> Refused {
        if self.sent > 0 {
            return Refused::new(
                Code::Broken,
                "it broke off, and the retry budget is used up",
            );
        }
        Refused::new(
            Code::RetryBudget,
            "servers refused it, and the retry budget is used up",
        )
        .again(FULL)
    }

    /// The request for one server, with what is left of its time.
    pub(super) fn request(
        &self,
        place: &Place,
        after: Option<&str>,
    ) -> Request<http_body_util::Full<Bytes>> {
        let admitted = &self.admitted;
        let account = admitted.account.as_ref();
        let hand = Hand {
            patience: admitted.until.saturating_duration_since(Instant::now()),
            incarnation: &place.server.incarnation,
            customer: account.map(|account| account.name.as_str()),
            after,
        };
        sending::request(&admitted.head, &admitted.body, self.node.dialect, &hand)
    }

    /// How long the server may say nothing.
    pub(super) fn quiet(&self) -> Duration {
        (self.admitted.rule.objective * 3).max(QUIET)
    }

    async fn send(&mut self, place: Place) -> Result<Step, Refused> {
        let request = self.request(&place, None);
        Line::new(Kind::Sent)
            .request(self.admitted.call.id.as_ref())
            .with("rule", &*self.admitted.rule.name)
            .with("table", self.admitted.table)
            .with("server", &*place.server.incarnation)
            .with("sent", self.sent + self.passed + 1)
            .with("after_ms", millis(self.admitted.arrived.elapsed()))
            .write();
        self.tried.push(Arc::clone(&place.server.incarnation));
        let until = self.admitted.until;
        let dialect = self.node.dialect;
        let sent = exchange::send(request, place, dialect, until, self.quiet()).await;
        match sent {
            Ok(coming) => self.take(coming).await,
            Err((failure, place)) => self.failed(failure, place),
        }
    }

    /// Takes the head of an answer.
    async fn take(&mut self, mut coming: Coming) -> Result<Step, Refused> {
        if let Some(why) = coming.foreign(self.admitted.call.id.as_ref()) {
            let failure = Failure::Unknown(why.to_owned());
            return self.failed(failure, coming.place);
        }
        if let Some(refusal) = coming.refusal() {
            return self.failed(refusal, coming.place);
        }
        self.sent += 1;
        self.first = Some(coming.first);
        let status = coming.head.status;
        metrics::histogram!("curlewlift_first_seconds").record(coming.first.as_secs_f64());
        if status.is_success() && self.admitted.rule.kind.is_stream() {
            return Ok(Step::Answer(self.stream(coming)));
        }
        if !coming.is_small() {
            let end = good(&coming);
            coming.place.end(end);
            return Ok(Step::Answer(self.stream(coming)));
        }
        let (head, body, mut place, first) = coming.whole(self.admitted.until).await;
        match body {
            Ok(body) if status.is_server_error() && self.is_repeatable() => {
                place.end(End::Failed);
                if self.sent < self.admitted.rule.attempts && self.may_repeat_now() {
                    return Ok(Step::Again);
                }
                Ok(Step::Answer(self.whole(head, body)))
            }
            Ok(body) => {
                place.end(if status.is_server_error() {
                    End::Failed
                } else {
                    End::Good { first, gap: None }
                });
                Ok(Step::Answer(self.whole(head, body)))
            }
            Err(failure) => {
                self.sent -= 1;
                self.failed(failure, place)
            }
        }
    }

    fn is_repeatable(&self) -> bool {
        self.admitted.rule.kind.is_repeatable()
    }

    /// Whether there is time for another sending.
    fn may_repeat_now(&self) -> bool {
        Instant::now() < self.admitted.until
    }

    /// Decides what becomes of a request that a server did not answer.
    fn failed(&mut self, failure: Failure, mut place: Place) -> Result<Step, Refused> {
        let rule = &self.admitted.rule;
        let (end, why) = match &failure {
            Failure::NotSent(why) | Failure::Unknown(why) => (End::Broken, why.clone()),
            Failure::NotRun { moved: true, .. } => {
                (End::Gone, "another has its address".to_owned())
            }
            Failure::NotRun { status, .. } => (End::Full, format!("it did not run it: {status}")),
            Failure::Late => (End::Silent, "the deadline has passed".to_owned()),
        };
        place.end(end);
        Line::new(Kind::TriedAgain)
            .request(self.admitted.call.id.as_ref())
            .with("server", &*place.server.incarnation)
            .with("why", why.as_str())
            .with("after_ms", millis(self.admitted.arrived.elapsed()))
            .write();
        drop(place);
        match failure {
            Failure::NotSent(_) | Failure::NotRun { .. } => {
                self.passed += 1;
                let most = rule.attempts.saturating_add(FURTHER);
                if self.sent + self.passed < most {
                    return Ok(Step::Again);
                }
                if self.sent > 0 {
                    return Err(Refused::new(Code::Broken, why));
                }
                Err(Refused::new(Code::Refused, why).again(FULL).not_run())
            }
            Failure::Unknown(why) => {
                self.sent += 1;
                if self.is_repeatable() && self.sent < rule.attempts && self.may_repeat_now() {
                    return Ok(Step::Again);
                }
                Err(Refused::new(Code::Broken, why))
            }
            Failure::Late => Err(Refused::new(Code::Late, why)),
        }
    }

    /// This gateway's own answer to a request that it took.
    fn refuse(&mut self, refusal: &Refused) -> Answer {
        self.told = true;
        if self.sent == 0
            && refusal.again.is_some()
            && let Some(account) = &self.admitted.account
        {
            // It surely did not run: the customer is not charged.
            let mut share = self.node.share.borrow_mut();
            share.give_back(&account.name, self.admitted.cost);
        }
        refused(self.admitted.call.id.as_ref(), refusal)
    }

    /// A server's answer that is there whole.
    fn whole(&mut self, head: response::Parts, body: Bytes) -> Answer {
        self.told = true;
        self.log_end(head.status.as_u16(), "whole");
        pass_on(head, Some(body.len()), whole(body))
    }

    /// A server's answer that is passed on as it comes.
    fn stream(&mut self, coming: Coming) -> Answer {
        let run = Run {
            node: Rc::clone(&self.node),
            admitted: self.admitted.share(),
            service: self.service.clone(),
            sent: self.sent,
            passed: self.passed,
            tried: self.tried.clone(),
            first: self.first,
            told: true,
        };
        self.told = true;
        let head = coming.head.clone();
        let body = relay::body(run, coming);
        pass_on(head, None, body)
    }

    pub(super) fn log_end(&self, status: u16, how: &str) {
        Line::new(Kind::Ended)
            .request(self.admitted.call.id.as_ref())
            .with("status", status)
            .with("how", how)
            .with("sent", self.sent + self.passed)
            .with("server", self.tried.last().map(|server| &**server))
            .with("first_ms", self.first.map(millis))
            .with("after_ms", millis(self.admitted.arrived.elapsed()))
            .write();
        let seconds = self.admitted.arrived.elapsed().as_secs_f64();
        metrics::histogram!("curlewlift_answer_seconds").record(seconds);
    }
}

fn good(coming: &Coming) -> End {
    End::Good {
        first: coming.first,
        gap: None,
    }
}

/// The head as the caller gets it: the server's own, but for what concerns one connection only.
fn pass_on(head: response::Parts, length: Option<usize>, body: super::body::Reply) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    let mut headers = head.headers;
    sending::strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, length.into());
    }
    *answer.headers_mut() = headers;
    answer
}
