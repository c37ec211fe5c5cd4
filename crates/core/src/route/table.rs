//! A routing table, which is accepted or refused as a whole.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;
use crate::limit::Rate;
use crate::pool::Scheduling;
use crate::unit::Tokens;

use super::CustomerPolicy;
use super::Rule;

/// Limits on the size of requests and on the time that callers take to send them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The maximum time for the headers to arrive.
    pub header_time: Duration,
    /// The maximum time that a connection may be idle.
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

/// What a table states about the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// How many tokens of running requests and of cached prompts fit in the memory of one engine; `None` if that is not
    /// stated.
    pub kv_capacity: Option<Tokens>,
    /// How many tokens an event of a stream holds; `None` if that is not stated.
    pub tokens_per_event: Option<u32>,
}

/// The settings of a service in a routing table.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// The maximum number of connections from all entries together to one of its backend servers.
    pub max_connections: u32,
    /// The path of its servers' health check.
    pub health_path: Arc<str>,
    /// How many requests per second one of its backend servers takes while it is cold; `None` if a cold server takes as
    /// many as a warm one.
    pub cold_rate: Option<Rate>,
    /// What its engines are like; `None` if its servers are plain ones.
    pub engine: Option<Engine>,
}

/// The parts of a table, before they are validated.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// The version of the table.
    pub version: u64,
    /// The rules.
    pub rules: Vec<Rule>,
    /// The services.
    pub services: BTreeMap<id::Service, ServicePolicy>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// The customers; `None` if requests need no key.
    pub customers: Option<Vec<CustomerPolicy>>,
}

/// A validated routing table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<Rule>>>,
    services: BTreeMap<id::Service, ServicePolicy>,
    limits: Limits,
    customers: Option<Vec<Arc<CustomerPolicy>>>,
    /// The index of the customer that has each key.
    keys: HashMap<String, usize>,
}

impl Table {
    /// Validates `parts` and builds a table of them.
    ///
    /// # Errors
    ///
    /// [`Code::BadValue`] if a rule names an unknown service, has an invalid prefix, weights that are
    /// negative or add up to 0, no timeout or no attempts, if two rules match the same requests, or if
    /// two customers have the same key.
    pub fn new(parts: Parts) -> Result<Self, Refusal> {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Rule>>> = HashMap::new();
        let mut matched = HashSet::new();
        for rule in parts.rules {
            validate_rule(&rule, &parts.services)?;
            if !matched.insert((Arc::clone(&rule.host), Arc::clone(&rule.prefix))) {
                let why = format!("two rules match {}{}", rule.host, rule.prefix);
                return Err(bad_value(why));
            }
            let rules = hosts.entry(Arc::clone(&rule.host)).or_default();
            rules.push(Arc::new(rule));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let keys = index_keys(parts.customers.as_deref().unwrap_or_default())?;
        let customers = parts
            .customers
            .map(|customers| customers.into_iter().map(Arc::new).collect());
        Ok(Self {
            version: parts.version,
            hosts,
            services: parts.services,
            limits: parts.limits,
            customers,
            keys,
        })
    }

    /// The version of the table.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        self.version
    }

    /// Limits on what callers may send.
    #[must_use]
    pub fn get_limits(&self) -> Limits {
        self.limits
    }

    /// The services.
    #[must_use]
    pub fn get_services(&self) -> &BTreeMap<id::Service, ServicePolicy> {
        &self.services
    }

    /// Of the parts of scheduling that are switched on, those that are in use for each service.
    #[must_use]
    pub fn scheduling(&self, switched_on: Scheduling) -> BTreeMap<id::Service, Scheduling> {
        let services = self.services.iter();
        let in_use = services.map(|(service, policy)| {
            let in_use = switched_on.for_service(policy, self.customers.is_some());
            (service.clone(), in_use)
        });
        in_use.collect()
    }

    /// What is stated about the engines of each service that has any.
    #[must_use]
    pub fn engines(&self) -> BTreeMap<id::Service, Engine> {
        let services = self.services.iter();
        let engines =
            services.filter_map(|(service, policy)| Some((service.clone(), policy.engine?)));
        engines.collect()
    }

    /// The rules, in no particular order.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<Rule>> {
        self.hosts.values().flatten()
    }

    /// The customers.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerPolicy>> {
        self.customers.iter().flatten()
    }

    /// The rule with the longest prefix that matches a request to `path` at `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let host = host.split(':').next().unwrap_or_default();
        let lowercase;
        let host = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lowercase = host.to_ascii_lowercase();
            &lowercase
        } else {
            host
        };
        let rules = self.hosts.get(host)?;
        rules.iter().find(|rule| rule.matches(path))
    }

    /// Whether requests need a key.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        self.customers.is_some()
    }

    /// The customer that has `key`.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerPolicy>> {
        let index = self.keys.get(key)?;
        self.customers.as_ref()?.get(*index)
    }
}

fn validate_rule(
    rule: &Rule,
    services: &BTreeMap<id::Service, ServicePolicy>,
) -> Result<(), Refusal> {
    let name = &rule.name;
    let has_slashes = rule.prefix.starts_with('/') && rule.prefix.ends_with('/');
    if !has_slashes {
        let why = format!("rule {name}: the path prefix must begin and end with a slash");
        return Err(bad_value(why));
    }
    if rule.timeout.is_zero() {
        return Err(bad_value(format!("rule {name}: the timeout is 0")));
    }
    if rule.attempts == 0 {
        return Err(bad_value(format!(
            "rule {name}: the number of attempts is 0"
        )));
    }
    for target in &rule.targets {
        if !services.contains_key(&target.service) {
            let why = format!("rule {name}: there is no service {}", target.service);
            return Err(bad_value(why));
        }
        if !target.weight.is_finite() || target.weight < 0.0 {
            return Err(bad_value(format!(
                "rule {name}: a weight is negative or not finite"
            )));
        }
    }
    let total: f64 = rule.targets.iter().map(|target| target.weight).sum();
    if total <= 0.0 {
        return Err(bad_value(format!("rule {name}: the weights add up to 0")));
    }
    Ok(())
}

/// Maps each key to the index of its customer.
fn index_keys(customers: &[CustomerPolicy]) -> Result<HashMap<String, usize>, Refusal> {
    let mut keys = HashMap::new();
    for (index, customer) in customers.iter().enumerate() {
        for key in &customer.keys {
            let other = keys.insert(key.clone(), index);
            if other.is_some_and(|other| other != index) {
                let why = format!(
                    "customer {} has the same key as another customer",
                    customer.name
                );
                return Err(bad_value(why));
            }
        }
    }
    Ok(keys)
}

fn bad_value(why: String) -> Refusal {
    Refusal::new(Code::BadValue, why)
}
