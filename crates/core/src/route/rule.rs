//! One rule of a routing table.

use std::sync::Arc;
use std::time::Duration;

use crate::id;

use super::Homes;
use super::Kind;

/// A service that a rule sends to, and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its share, against the other targets' shares.
    pub weight: f64,
}

/// Which requests it takes, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name.
    pub name: Arc<str>,
    /// The host that the request names, in lower case and without a port.
    pub host: Arc<str>,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// How long a request may be held in all.
    pub timeout: Duration,
    /// Within what time an answer (of a stream, its first event) is wanted.
    pub objective: Duration,
    /// The longest pause between the pieces of a stream that is still in time; none where nothing is
    /// said of it.
    pub max_gap: Option<Duration>,
    /// The rank of its requests, 0 first.
    pub rank: u8,
    /// Where they go; the weights add up to more than 0.
    pub targets: Vec<Target>,
    /// How many backend servers one request may be sent to, at the most.
    pub attempts: u8,
    /// Whether no key is needed.
    pub public: bool,
    /// The regions that its requests must stay in.
    pub homes: Homes,
}

impl Rule {
    /// The service for a request that drew `lot`, 0 to below 1.
    ///
    /// # Examples
    ///
    /// Two targets with weights 90 and 10: a lot of 0.95 falls to the second.
    #[must_use]
    pub fn pick_target(&self, lot: f64) -> Option<&id::Service> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = lot * total;
        let weighed = self.targets.iter().filter(|target| target.weight > 0.0);
        let mut last = None;
        for target in weighed {
            last = Some(&target.service);
            if left < target.weight {
                break;
            }
            left -= target.weight;
        }
        last
    }

    /// Whether it takes a request to `path`.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        path.starts_with(&*self.prefix)
    }
}
