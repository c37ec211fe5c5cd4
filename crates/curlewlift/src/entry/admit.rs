//! Who may: the customer behind a key, and its limits at this entry.

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

/// What one customer has done at this entry.
#[derive(Clone, Copy, Debug)]
struct Used {
    open: u32,
    tokens: f64,
    filled: Instant,
}

/// The customers' limits at this entry.
#[derive(Debug, Default)]
pub(super) struct Limits {
    used: HashMap<id::Customer, Used>,
}

impl Limits {
    /// Counts a request of `customer` as open.
    fn enter(
        &mut self,
        name: &id::Customer,
        customer: &config::Customer,
        now: Instant,
    ) -> Result<(), Refusal> {
        #[allow(clippy::cast_precision_loss)]
        let rate = customer.rate.0 as f64;
        let fresh = Used {
            open: 0,
            tokens: rate,
            filled: now,
        };
        let used = self.used.entry(name.clone()).or_insert(fresh);
        let earned = now.since(used.filled).as_secs_f64() * rate;
        used.tokens = (used.tokens + earned).min(rate.max(1.0));
        used.filled = now;
        if used.open >= customer.open {
            let why = format!("{} requests are open; {} may be", used.open, customer.open);
            return Err(Refusal::new(Code::OpenLimit, why));
        }
        if used.tokens < 1.0 {
            let why = format!("more than {} requests a second", customer.rate);
            return Err(Refusal::new(Code::RateLimit, why));
        }
        used.tokens -= 1.0;
        used.open += 1;
        Ok(())
    }

    fn leave(&mut self, name: &id::Customer) {
        if let Some(used) = self.used.get_mut(name) {
            used.open = used.open.saturating_sub(1);
        }
    }
}

/// A request that counts as open as long as this lives.
pub(super) struct Open {
    node: Arc<Node>,
    customer: id::Customer,
}

impl Drop for Open {
    fn drop(&mut self) {
        lock(&self.node.limits).leave(&self.customer);
    }
}

/// The customer whose key the headers bear.
pub(super) fn customer(
    node: &Node,
    headers: &HeaderMap,
) -> Result<(id::Customer, Arc<config::Customer>), Refusal> {
    let wrong = || {
        Refusal::new(
            Code::WrongKey,
            "the header `authorization: Bearer KEY` is needed",
        )
    };
    let header = headers.get(AUTHORIZATION).ok_or_else(wrong)?;
    let text = header.to_str().map_err(|_| wrong())?;
    let key = text.strip_prefix("Bearer ").ok_or_else(wrong)?;
    let digest = crate::key::digest(key);
    let snapshot = node.snapshot();
    let found = snapshot.customer_by_key_hash(&digest);
    let unknown = || Refusal::new(Code::WrongKey, "no customer has this key");
    found
        .map(|(name, rights)| (name.clone(), Arc::clone(rights)))
        .ok_or_else(unknown)
}

/// Counts a request of `customer` as open, if its limits allow.
pub(super) fn enter(
    node: &Arc<Node>,
    name: &id::Customer,
    customer: &config::Customer,
) -> Result<Open, Refusal> {
    lock(&node.limits).enter(name, customer, node.now())?;
    Ok(Open {
        node: Arc::clone(node),
        customer: name.clone(),
    })
}
