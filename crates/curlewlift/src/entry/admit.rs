//! Admission: the customer of an API key, and the customer's limits at this entry.

use std::collections::HashMap;
use std::sync::Arc;

use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use curlewlift_core::clock::Instant;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::config;
use curlewlift_core::id;

use super::node::Node;
use super::node::lock;

/// The usage of one customer at this entry.
#[derive(Clone, Copy, Debug)]
struct Usage {
    open_requests: u32,
    /// Token bucket of the request rate.
    tokens: f64,
    refilled: Instant,
}

/// The customers' limits at this entry.
#[derive(Debug, Default)]
pub(super) struct Limits {
    usage: HashMap<id::Customer, Usage>,
}

impl Limits {
    /// Counts a request of `customer` as open, unless a limit is reached.
    fn acquire(
        &mut self,
        name: &id::Customer,
        customer: &config::Customer,
        now: Instant,
    ) -> Result<(), Refusal> {
        #[allow(clippy::cast_precision_loss)]
        let rate = customer.rate.0 as f64;
        let initial = Usage {
            open_requests: 0,
            tokens: rate,
            refilled: now,
        };
        let usage = self.usage.entry(name.clone()).or_insert(initial);
        let refill = now.since(usage.refilled).as_secs_f64() * rate;
        usage.tokens = (usage.tokens + refill).min(rate.max(1.0));
        usage.refilled = now;
        if usage.open_requests >= customer.open {
            let detail = format!(
                "{} requests are open; the limit is {}",
                usage.open_requests, customer.open
            );
            return Err(Refusal::new(Code::OpenLimit, detail));
        }
        if usage.tokens < 1.0 {
            let detail = format!("more than {} requests a second", customer.rate);
            return Err(Refusal::new(Code::RateLimit, detail));
        }
        usage.tokens -= 1.0;
        usage.open_requests += 1;
        Ok(())
    }

    /// Counts one request less as open.
    fn release(&mut self, name: &id::Customer) {
        if let Some(usage) = self.usage.get_mut(name) {
            usage.open_requests = usage.open_requests.saturating_sub(1);
        }
    }
}

/// A request that counts as open until this is dropped.
pub(super) struct OpenRequest {
    node: Arc<Node>,
    customer: id::Customer,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        lock(&self.node.limits).release(&self.customer);
    }
}

/// Finds the customer whose API key is in the headers.
pub(super) fn authenticate(
    node: &Node,
    headers: &HeaderMap,
) -> Result<(id::Customer, Arc<config::Customer>), Refusal> {
    let missing_key = || {
        Refusal::new(
            Code::WrongKey,
            "the header `authorization: Bearer KEY` is needed",
        )
    };
    let header = headers.get(AUTHORIZATION).ok_or_else(missing_key)?;
    let text = header.to_str().map_err(|_| missing_key())?;
    let key = text.strip_prefix("Bearer ").ok_or_else(missing_key)?;
    let digest = crate::key::digest(key);
    let snapshot = node.snapshot();
    let customer = snapshot.customer_by_key_hash(&digest);
    let unknown = || Refusal::new(Code::WrongKey, "no customer has this key");
    customer
        .map(|(name, rights)| (name.clone(), Arc::clone(rights)))
        .ok_or_else(unknown)
}

/// Counts a request of `customer` as open if its limits allow it.
pub(super) fn admit(
    node: &Arc<Node>,
    name: &id::Customer,
    customer: &config::Customer,
) -> Result<OpenRequest, Refusal> {
    lock(&node.limits).acquire(name, customer, node.now())?;
    Ok(OpenRequest {
        node: Arc::clone(node),
        customer: name.clone(),
    })
}
