//! Whether a request is taken: its rule, its customer, its size, the customer's allowance.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::Request;
use axum::http::Uri;
use axum::http::header;
use axum::http::request;
use axum::http::uri::PathAndQuery;
use bytes::Bytes;
use curlewlift_core::clock;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::pool::WaitLimit;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quota::Charge;
use curlewlift_core::route::CustomerPolicy;
use curlewlift_core::route::Limits;
use curlewlift_core::route::Rank;
use curlewlift_core::route::Rule;
use curlewlift_core::route::Table;
use curlewlift_core::unit::Tokens;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::deadline::Deadline;
use super::dialect::Call;
use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::refuse::Refused;

/// When a caller is to come back to a gateway that has no table: a leader is elected and has told
/// its gateways by then.
const NO_TABLE: Duration = Duration::from_millis(800);

/// How long a request waits for a first table at the most: after a loss of all hosts a table comes 0.3 s
/// after the start (by the gateways' logs), and whoever is turned away meanwhile may have no further try.
const FIRST_TABLE: Duration = Duration::from_secs(1);

/// The same where the whole deployment starts for the first time: no other host has a table either, and one that
/// is sent away finds none elsewhere. Beside a load of 15 on eight processors the first table came after 1 s in one
/// start of six.
const FIRST_START: Duration = Duration::from_secs(5);

/// The part of the time that its caller gives it that a request waits for a first table at the most: what
/// is left must do for its answer.
const FIRST_TABLE_PART: f64 = 0.25;

/// Between two looks whether a first table has come.
const LOOK: Duration = Duration::from_millis(15);

/// A request that is taken.
#[derive(Clone)]
pub(super) struct Admitted {
    pub(super) call: Call,
    pub(super) rule: Arc<Rule>,
    pub(super) account: Option<Arc<CustomerPolicy>>,
    pub(super) cost: u64,
    /// What it is, whichever try of its caller this is.
    pub(super) identity: Identity,
    /// The data halls that it must stay in; none where it may go anywhere.
    pub(super) halls: Option<Arc<[Arc<str>]>>,
    /// What is still to be drawn from its customer's allowance.
    pub(super) charge: Option<Charge>,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    /// When it must be answered.
    pub(super) deadline: Deadline,
    /// The number of the table that it was taken by.
    pub(super) table: u64,
}

impl Admitted {
    /// How urgent it is.
    pub(super) fn rank(&self) -> Rank {
        Rank::new(&self.rule, self.account.as_deref())
    }

    /// The length of its prompt; 0 where it has none.
    pub(super) fn prompt(&self) -> Tokens {
        Tokens(self.call.tokens.map_or(0, |(prompt, _)| prompt))
    }

    /// A line about it: what it is, whose, how large, and by what time it is wanted.
    pub(super) fn line(&self, kind: Kind) -> Line {
        let account = self.account.as_ref();
        Line::new(kind)
            .request(self.call.id.as_ref())
            .with("rule", &*self.rule.name)
            .with("table", self.table)
            .with("customer", account.map(|account| account.name.as_str()))
            .with("rank", self.rank().to_string())
            .with("cost", self.cost)
            .with("identity", self.identity.to_string())
            .with("prompt", self.prompt().0)
            .with("objective_ms", millis(self.rule.objective))
            .with("pause_ms", self.rule.max_gap.map(millis))
            .after(self.deadline.age())
    }

    /// What is known of its time now.
    pub(super) fn patience(&self, node: &Node) -> WaitLimit {
        WaitLimit {
            objective: self.rule.objective,
            waited: self.deadline.age(),
            remaining: self.deadline.left(),
            first_byte: node.lead(&self.rule.name),
        }
    }

    /// After how long its caller is to come back if it is turned away now.
    pub(super) fn come_back(&self, node: &Node) -> Duration {
        self.patience(node).retry_after()
    }
}

/// Takes a request, or says why not; nothing of it has run then.
pub(super) async fn admit(
    node: &Node,
    request: Request<Incoming>,
    arrived: clock::Instant,
    call: Call,
) -> Result<Admitted, Refused> {
    let table = table(node, arrived, &call).await?;
    let rule = rule(&table, &request)?;
    let account = account(&table, &rule, &call)?;
    let within = call.patience.unwrap_or(rule.timeout).min(rule.timeout);
    let deadline = Deadline::new(node.clock.clone(), arrived, within);
    let halls = halls(node, &rule, account.as_deref())?;
    let number = table.get_version();
    let limits = table.get_limits();
    drop(table);
    let (head, body) = request.into_parts();
    let body = read(body, limits, deadline.timer()).await?;
    let identity = identity(account.as_deref(), &head, &body);
    let cost = account.as_ref().map_or(0, |account| cost(account, &call));
    let charge = account.as_deref().and_then(|account| charge(account, cost));
    Ok(Admitted {
        charge,
        call,
        rule,
        account,
        cost,
        identity,
        halls,
        head,
        body,
        deadline,
        table: number,
    })
}

/// The data halls that a request must stay in.
fn halls(
    node: &Node,
    rule: &Rule,
    account: Option<&CustomerPolicy>,
) -> Result<Option<Arc<[Arc<str>]>>, Refused> {
    let homes = account.map(|account| rule.homes.intersection(&account.homes));
    let halls = node.regions.halls(homes.as_ref().unwrap_or(&rule.homes));
    if halls.as_ref().is_some_and(|halls| halls.is_empty()) {
        let why = "the regions that the rule and the customer allow have no data hall in common";
        return Err(Refused::new(Code::NoHome, why));
    }
    Ok(halls)
}

/// What a request counts towards its customer's allowance; none where that has no limit.
fn charge(account: &CustomerPolicy, cost: u64) -> Option<Charge> {
    account.quota.is_limited().then(|| Charge {
        customer: account.name.clone(),
        cost,
    })
}

/// What a request counts in its customer's unit.
fn cost(account: &CustomerPolicy, call: &Call) -> u64 {
    let tokens = call
        .tokens
        .map(|(prompt, made)| prompt.saturating_add(made));
    account.quota.cost(tokens)
}

/// The table in force; a gateway that has only begun waits a little for its first one.
async fn table(node: &Node, arrived: clock::Instant, call: &Call) -> Result<Rc<Table>, Refused> {
    let part = call
        .patience
        .map(|patience| patience.mul_f64(FIRST_TABLE_PART));
    let most = if node.first_start {
        FIRST_START
    } else {
        FIRST_TABLE
    };
    let most = part.map_or(FIRST_TABLE, |part| part.min(most));
    while node.table().is_none() && node.now().since(arrived) < most {
        tokio::time::sleep(LOOK).await;
    }
    node.table()
        .ok_or_else(|| Refused::new(Code::NoTable, "no routing table has come yet").again(NO_TABLE))
}

/// The host that a request is for.
fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let named = headers.get(header::HOST);
    let named = named.and_then(|named| named.to_str().ok());
    uri.host().or(named).unwrap_or_default()
}

/// What a request is.
fn identity(account: Option<&CustomerPolicy>, head: &request::Parts, body: &[u8]) -> Identity {
    let customer = account.map(|account| account.name.clone());
    let path = head.uri.path_and_query();
    let path = path.map(PathAndQuery::as_str).unwrap_or_default();
    Identity::new(customer, host(&head.uri, &head.headers), path, body)
}

fn rule(table: &Table, request: &Request<Incoming>) -> Result<Arc<Rule>, Refused> {
    let host = host(request.uri(), request.headers());
    let path = request.uri().path();
    let rule = table.find(host, path).cloned();
    rule.ok_or_else(|| {
        let why = format!("table {} has no rule for {host}{path}", table.get_version());
        Refused::new(Code::UnknownPath, why)
    })
}

fn account(
    table: &Table,
    rule: &Rule,
    call: &Call,
) -> Result<Option<Arc<CustomerPolicy>>, Refused> {
    let known = call.key.as_deref().and_then(|key| table.customer(key));
    if !table.needs_key() || rule.public {
        return Ok(known.cloned());
    }
    known.cloned().map(Some).ok_or_else(|| {
        let why = format!(
            "table {} has no customer with this key",
            table.get_version()
        );
        Refused::new(Code::WrongKey, why)
    })
}

async fn read(body: Incoming, limits: Limits, until: Instant) -> Result<Bytes, Refused> {
    let too_large = || {
        let why = format!("a body has at most {} bytes", limits.body_bytes);
        Refused::new(Code::TooLarge, why)
    };
    let stated = body.size_hint().lower();
    if usize::try_from(stated).is_ok_and(|stated| stated > limits.body_bytes) {
        return Err(too_large());
    }
    let limited = Limited::new(body, limits.body_bytes).collect();
    let late = Refusal::new(Code::TooSlow, "the body did not arrive within the deadline");
    let Ok(read) = tokio::time::timeout_at(until, limited).await else {
        return Err(late.into());
    };
    match read {
        Ok(read) => Ok(read.to_bytes()),
        Err(why) if why.is::<LengthLimitError>() => Err(too_large()),
        Err(why) => Err(Refused::new(
            Code::Broken,
            format!("the body broke off: {why}"),
        )),
    }
}
