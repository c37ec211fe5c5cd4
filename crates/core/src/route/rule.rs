//! A rule of a routing table.

use std::sync::Arc;
use std::time::Duration;

use crate::id;

use super::Homes;
use super::Kind;

/// A service that a rule sends requests to, and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its share of the requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// Which requests a rule matches, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name.
    pub name: Arc<str>,
    /// The host name of the requests, in lower case and without a port.
    pub host: Arc<str>,
    /// The prefix of the path, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once, and how they are answered.
    pub kind: Kind,
    /// The longest time that a request may take in total.
    pub timeout: Duration,
    /// The latency objective: the time within which a response, or the first event of a stream, should arrive.
    pub objective: Duration,
    /// The longest time between two chunks of a stream that still meets the objective; `None` for no such objective.
    pub max_gap: Option<Duration>,
    /// The rank of its requests; 0 is the highest.
    pub rank: u8,
    /// The services that its requests go to; the weights add up to more than 0.
    pub targets: Vec<Target>,
    /// The maximum number of backend servers that one request may be sent to.
    pub attempts: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// The regions that its requests must stay in.
    pub homes: Homes,
}

impl Rule {
    /// The service for a request, chosen by weight with the random number `random`, from 0 to below 1.
    ///
    /// # Examples
    ///
    /// With two targets of weights 90 and 10, 0.95 selects the second.
    #[must_use]
    pub fn pick_target(&self, random: f64) -> Option<&id::Service> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = random * total;
        let weighted = self.targets.iter().filter(|target| target.weight > 0.0);
        let mut last = None;
        for target in weighted {
            last = Some(&target.service);
            if remaining < target.weight {
                break;
            }
            remaining -= target.weight;
        }
        last
    }

    /// Whether it matches requests to `path`.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        path.starts_with(&*self.prefix)
    }
}
