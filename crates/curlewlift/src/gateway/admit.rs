//! Admits requests: finds the rule and the customer, and checks the body size and the customer's quota.

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
use bytes::BytesMut;
use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;
use curlewlift_core::pool::WaitLimit;
use curlewlift_core::publication::Standing;
use curlewlift_core::quarantine::Features;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quota::Charge;
use curlewlift_core::route::CustomerPolicy;
use curlewlift_core::route::Limits;
use curlewlift_core::route::Rank;
use curlewlift_core::route::Rule;
use curlewlift_core::route::Table;
use curlewlift_core::stop::Need;
use curlewlift_core::unit::Tokens;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::deadline::Arrival;
use super::deadline::Deadline;
use super::decision;
use super::dialect::RequestHead;
use super::held_bytes::HeldBytes;
use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::refuse::Refused;

/// After how long a caller is to retry, at any host, if this one holds too many bytes: most requests are short.
const HOST_FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An admitted request.
#[derive(Clone)]
pub(super) struct Admitted {
    /// The parsed header fields.
    pub(super) head_fields: RequestHead,
    pub(super) rule: Arc<Rule>,
    /// The customer's policy; none if the request names no known customer.
    pub(super) policy: Option<Arc<CustomerPolicy>>,
    /// Its cost in the unit of the customer's quota.
    pub(super) cost: u64,
    /// What identifies the request across the retries of its caller, and what it has in common with others.
    pub(super) features: Features,
    /// The data halls that the request must stay in; none if it may go anywhere.
    pub(super) allowed_halls: Option<Arc<[Arc<str>]>>,
    /// What is still to be charged to the customer's quota.
    pub(super) charge: Option<Charge>,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    /// What the body holds of the gateway's memory budget.
    _held: Rc<HeldBytes>,
    /// The request's deadline.
    pub(super) deadline: Deadline,
    /// The version of the routing table that it was admitted by.
    pub(super) table_version: u64,
}

impl Admitted {
    /// The rank of the request: how urgent it is.
    pub(super) fn rank(&self) -> Rank {
        Rank::new(&self.rule, self.policy.as_deref())
    }

    /// The length of its prompt in tokens; 0 if none was stated.
    pub(super) fn prompt(&self) -> Tokens {
        Tokens(self.head_fields.tokens.map_or(0, |(prompt, _)| prompt))
    }

    /// The number of tokens that it is likely to generate; 0 if that is not known.
    pub(super) fn output(&self) -> Tokens {
        let max = self.head_fields.tokens.map(|(_, generated)| generated);
        let hint = self.head_fields.length_hint;
        Tokens(
            hint.map_or(max, |hint| Some(max.map_or(hint, |max| max.min(hint))))
                .unwrap_or(0),
        )
    }

    /// A log line that describes the request: its rule, customer, cost and latency objective.
    pub(super) fn log_line(&self, kind: Kind) -> Line {
        let policy = self.policy.as_ref();
        Line::new(kind)
            .request(self.head_fields.id.as_ref())
            .with("rule", &*self.rule.name)
            .with("table", self.table_version)
            .with("customer", policy.map(|policy| policy.name.as_str()))
            .with("rank", self.rank().to_string())
            .with("cost", self.cost)
            .with("identity", self.features.identity.to_string())
            .with("parts", self.features.parts_text())
            .with("prompt", self.prompt().0)
            .with("objective_ms", millis(self.rule.objective))
            .with("pause_ms", self.rule.max_gap.map(millis))
            .after(self.deadline.elapsed())
    }

    /// The limits on how long the request may wait now.
    pub(super) fn wait_limit(&self, node: &Node) -> WaitLimit {
        WaitLimit {
            objective: self.rule.objective,
            waited: self.deadline.elapsed(),
            remaining: self.deadline.remaining(),
            first_byte: node.first_byte_estimate(&self.rule.name),
        }
    }

    /// What the request needs of a gateway that stops.
    pub(super) fn need(&self, node: &Node) -> Need {
        Need {
            longest: self.deadline.remaining(),
            expected: node.response_time_estimate(&self.rule.name),
        }
    }

    /// How much longer the caller waits, over all of its requests.
    pub(super) fn caller_waits_for(&self) -> Duration {
        let waits = self.head_fields.timeout.unwrap_or(Duration::MAX);
        waits.saturating_sub(self.deadline.elapsed())
    }

    /// After how long the caller is to retry if the request is rejected now.
    pub(super) fn retry_after(&self, node: &Node) -> Duration {
        self.wait_limit(node).retry_after()
    }
}

/// Admits a request, or returns the refusal; a refused request has not run.
pub(super) async fn admit(
    node: &Rc<Node>,
    request: Request<Incoming>,
    arrived: Arrival,
    head_fields: RequestHead,
) -> Result<Admitted, Refused> {
    let find = |table: &Table| {
        let rule = find_rule(table, &request)?;
        let policy = find_policy(table, &rule, &head_fields)?;
        Ok((rule, policy))
    };
    let (table, (rule, policy)) =
        decision::decide(node, arrived.at, head_fields.timeout, find).await?;
    let time_limit = head_fields
        .timeout
        .unwrap_or(rule.timeout)
        .min(rule.timeout);
    let deadline = Deadline::new(node.clock.clone(), arrived, time_limit);
    let allowed_halls = allowed_halls(node, &rule, policy.as_deref())?;
    let version = table.get_version();
    let limits = table.get_limits();
    drop(table);
    let (head, body) = request.into_parts();
    let memory = HeldBytes::new(node);
    let body = read_body(body, limits, &memory, deadline.timer_instant()).await;
    let body = body.map_err(|refused| decision::confirm(node, refused))?;
    let features = Features {
        identity: identity(policy.as_deref(), &head, &body),
        parts: Arc::clone(&head_fields.parts),
    };
    let cost = policy
        .as_ref()
        .map_or(0, |policy| cost(policy, &head_fields));
    let charge = match policy.as_deref() {
        Some(policy) => charge(node, policy, cost)?,
        None => None,
    };
    Ok(Admitted {
        charge,
        head_fields,
        rule,
        policy,
        cost,
        features,
        allowed_halls,
        head,
        body,
        _held: Rc::new(memory),
        deadline,
        table_version: version,
    })
}

/// The data halls that a request must stay in, by the homes of its rule and its customer.
fn allowed_halls(
    node: &Node,
    rule: &Rule,
    policy: Option<&CustomerPolicy>,
) -> Result<Option<Arc<[Arc<str>]>>, Refused> {
    let homes = policy.map(|policy| rule.homes.intersection(&policy.homes));
    let halls = node.regions.halls(homes.as_ref().unwrap_or(&rule.homes));
    if halls.as_ref().is_some_and(|halls| halls.is_empty()) {
        let reason = "the regions that the rule and the customer allow have no data hall in common";
        return Err(Refused::new(Code::NoHome, reason));
    }
    Ok(halls)
}

/// What a request is charged to its customer's quota; none if the quota is unlimited. A refusal if the request can never be
/// admitted: the newest table decides that, so a gateway that may have an older one leaves it to the hub.
fn charge(node: &Node, policy: &CustomerPolicy, cost: u64) -> Result<Option<Charge>, Refused> {
    let (customer, quota) = (&policy.name, &policy.quota);
    if !quota.is_limited() {
        return Ok(None);
    }
    let is_possible = {
        let local_limiter = node.local_limiter.borrow();
        local_limiter.get_tolerance().allows_cost(quota, cost)
    };
    if !is_possible && node.table_standing() == Standing::Current {
        let reason = format!(
            "the request costs {cost}, more than the quota of customer {customer} allows at any time"
        );
        return Err(Refused::new(Code::CostTooHigh, reason));
    }
    let customer = customer.clone();
    Ok(Some(Charge { customer, cost }))
}

/// The cost of a request in the unit of its customer's quota.
fn cost(policy: &CustomerPolicy, head_fields: &RequestHead) -> u64 {
    let tokens = head_fields
        .tokens
        .map(|(prompt, output)| prompt.saturating_add(output));
    policy.quota.cost(tokens)
}

/// The host name that a request is addressed to.
fn request_host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let host_header = headers.get(header::HOST);
    let host_header = host_header.and_then(|host_header| host_header.to_str().ok());
    uri.host().or(host_header).unwrap_or_default()
}

/// The identity of a request: its customer, host, path and body.
fn identity(policy: Option<&CustomerPolicy>, head: &request::Parts, body: &[u8]) -> Identity {
    let customer = policy.map(|policy| policy.name.clone());
    let path = head.uri.path_and_query();
    let path = path.map(PathAndQuery::as_str).unwrap_or_default();
    Identity::new(customer, request_host(&head.uri, &head.headers), path, body)
}

/// The rule of the routing table that matches the request.
fn find_rule(table: &Table, request: &Request<Incoming>) -> Result<Arc<Rule>, Refused> {
    let host = request_host(request.uri(), request.headers());
    let path = request.uri().path();
    let rule = table.find(host, path).cloned();
    rule.ok_or_else(|| {
        let reason = format!("table {} has no rule for {host}{path}", table.get_version());
        Refused::new(Code::UnknownPath, reason)
    })
}

/// The policy of the customer whose key the request carries; a refusal if the rule requires a known key.
fn find_policy(
    table: &Table,
    rule: &Rule,
    head_fields: &RequestHead,
) -> Result<Option<Arc<CustomerPolicy>>, Refused> {
    let customer = head_fields
        .key
        .as_deref()
        .and_then(|key| table.customer(key));
    if !table.needs_key() || rule.public {
        return Ok(customer.cloned());
    }
    customer.cloned().map(Some).ok_or_else(|| {
        let reason = format!(
            "table {} has no customer with this key",
            table.get_version()
        );
        Refused::new(Code::WrongKey, reason)
    })
}

/// Reads the request body, within the size limit and the gateway's memory budget and until the deadline.
async fn read_body(
    body: Incoming,
    limits: Limits,
    held: &HeldBytes,
    until: Instant,
) -> Result<Bytes, Refused> {
    let stated_length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated_length > limits.body_bytes {
        return Err(too_large(limits));
    }
    if !held.has_room_for(stated_length) {
        return Err(host_full());
    }
    let read = collect_body(body, limits, held);
    let Ok(read) = tokio::time::timeout_at(until, read).await else {
        let reason = "the request body did not arrive before the deadline";
        return Err(Refused::new(Code::TooSlow, reason));
    };
    read
}

/// Collects a body. Its bytes are held as they arrive, so that a caller that sends nothing holds nothing.
async fn collect_body(
    mut body: Incoming,
    limits: Limits,
    held: &HeldBytes,
) -> Result<Bytes, Refused> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|reason| {
            let reason = format!("the connection broke off during the request body: {reason}");
            Refused::new(Code::Broken, reason)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > limits.body_bytes {
            return Err(too_large(limits));
        }
        if !held.try_extend(data.len()) {
            return Err(host_full());
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

fn too_large(limits: Limits) -> Refused {
    let reason = format!(
        "the request body exceeds the limit of {} bytes",
        limits.body_bytes
    );
    Refused::new(Code::TooLarge, reason)
}

fn host_full() -> Refused {
    let reason = "this host holds as many bytes of requests and responses as its memory allows";
    Refused::new(Code::HostFull, reason).with_retry_after(HOST_FULL_RETRY_AFTER)
}
