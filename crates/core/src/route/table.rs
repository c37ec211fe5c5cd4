//! A routing table: valid as a whole, or refused as a whole.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;
use crate::limit::Rate;

use super::CustomerPolicy;
use super::Rule;

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub header_time: Duration,
    /// How long a connection may rest.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A service as a routing table has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// How many connections one of its backend servers takes from all entries together.
    pub max_connections: u32,
    /// The path of its health check.
    pub health_path: Arc<str>,
    /// How many requests a second one of its backend servers takes while it is cold; none where that is as many as
    /// later.
    pub cold_rate: Option<Rate>,
}

/// The parts of a table, before they are checked.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Its number.
    pub number: u64,
    /// The rules.
    pub rules: Vec<Rule>,
    /// The services.
    pub services: BTreeMap<id::Service, ServicePolicy>,
    /// What callers may send.
    pub limits: Limits,
    /// The customers; none where requests need no key.
    pub customers: Option<Vec<CustomerPolicy>>,
}

/// A routing table whose parts fit together.
#[derive(Clone, Debug, Default)]
pub struct Table {
    number: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<Rule>>>,
    services: BTreeMap<id::Service, ServicePolicy>,
    limits: Limits,
    customers: Option<Vec<Arc<CustomerPolicy>>>,
    keys: HashMap<String, usize>,
}

impl Table {
    /// A table of `parts`.
    ///
    /// # Errors
    ///
    /// [`Code::BadValue`] where a rule names a service that is not there, has no weight or no
    /// time, where two rules take the same requests, or two customers have the same key.
    pub fn new(parts: Parts) -> Result<Self, Refusal> {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Rule>>> = HashMap::new();
        for rule in parts.rules {
            check(&rule, &parts.services)?;
            let rules = hosts.entry(Arc::clone(&rule.host)).or_default();
            if rules.iter().any(|other| other.prefix == rule.prefix) {
                let why = format!("two rules take {}{}", rule.host, rule.prefix);
                return Err(bad(why));
            }
            rules.push(Arc::new(rule));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let keys = keys(parts.customers.as_deref().unwrap_or_default())?;
        let customers = parts
            .customers
            .map(|accounts| accounts.into_iter().map(Arc::new).collect());
        Ok(Self {
            number: parts.number,
            hosts,
            services: parts.services,
            limits: parts.limits,
            customers,
            keys,
        })
    }

    /// Its number.
    #[must_use]
    pub fn get_number(&self) -> u64 {
        self.number
    }

    /// What callers may send.
    #[must_use]
    pub fn get_limits(&self) -> Limits {
        self.limits
    }

    /// The services.
    #[must_use]
    pub fn get_services(&self) -> &BTreeMap<id::Service, ServicePolicy> {
        &self.services
    }

    /// The rules, in no order.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<Rule>> {
        self.hosts.values().flatten()
    }

    /// The customers.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerPolicy>> {
        self.customers.iter().flatten()
    }

    /// The rule with the longest prefix that takes a request to `path` at `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let host = host.split(':').next().unwrap_or_default();
        let lower;
        let host = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            &lower
        } else {
            host
        };
        let rules = self.hosts.get(host)?;
        rules.iter().find(|rule| rule.matches(path))
    }

    /// Whether requests need a key at all.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        self.customers.is_some()
    }

    /// The customer with `key`.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerPolicy>> {
        let place = self.keys.get(key)?;
        self.customers.as_ref()?.get(*place)
    }
}

fn check(rule: &Rule, services: &BTreeMap<id::Service, ServicePolicy>) -> Result<(), Refusal> {
    let name = &rule.name;
    let slashes = rule.prefix.starts_with('/') && rule.prefix.ends_with('/');
    if !slashes {
        let why = format!("rule {name}: a prefix begins and ends with a slash");
        return Err(bad(why));
    }
    if rule.timeout.is_zero() {
        return Err(bad(format!("rule {name}: the time-out is 0")));
    }
    if rule.attempts == 0 {
        return Err(bad(format!("rule {name}: no attempt is allowed")));
    }
    for target in &rule.targets {
        if !services.contains_key(&target.service) {
            let why = format!("rule {name}: there is no service {}", target.service);
            return Err(bad(why));
        }
        if !target.weight.is_finite() || target.weight < 0.0 {
            return Err(bad(format!("rule {name}: a weight is below 0")));
        }
    }
    let total: f64 = rule.targets.iter().map(|target| target.weight).sum();
    if total <= 0.0 {
        return Err(bad(format!("rule {name}: the weights add up to 0")));
    }
    Ok(())
}

fn keys(accounts: &[CustomerPolicy]) -> Result<HashMap<String, usize>, Refusal> {
    let mut keys = HashMap::new();
    for (place, account) in accounts.iter().enumerate() {
        for key in &account.keys {
            let other = keys.insert(key.clone(), place);
            if other.is_some_and(|other| other != place) {
                let why = format!("customer {} has a key of another customer", account.name);
                return Err(bad(why));
            }
        }
    }
    Ok(keys)
}

fn bad(why: String) -> Refusal {
    Refusal::new(Code::BadValue, why)
}
