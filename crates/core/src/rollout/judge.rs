//! Judges a version by its responses, compared with those of the version it is to replace.
//!
//! Load pattern: the target version gets at most a tenth of a service's requests, which is a few
//! per second for a rarely used rule, for some seconds. A faulty version fails some of its
//! requests, or responds several times slower; from the beginning or only later, only under load,
//! or only under one rule. So every response, good or bad (failed or slow), shifts the log odds
//! that the version is faulty, for its rule and for all rules together. The sums never fall below
//! zero, so that a long good period is no credit for a version that turns bad (Page's cumulative
//! sum test). docs/design/rollouts.md compares this with fixed windows and with a posterior over
//! the whole trial.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use super::Baseline;
use super::Sample;

/// By how much the rate of bad responses of a faulty version is assumed to exceed the typical rate.
///
/// A version that fails four in ten requests where one in a hundred is typical is rejected after
/// five bad responses on average, ten at most.
const BAD_RATE_INCREASE: f64 = 0.3;

/// The maximum rate of bad responses that is assumed of a faulty version.
const MAX_BAD_RATE: f64 = 0.95;

/// The log odds at which a version is rejected.
///
/// None of 2,000 good versions reached them in 180 responses, with 1 or 12 in 100 requests failing
/// for other reasons.
const REJECT_LOG_ODDS: f64 = 12.0;

/// The fraction of [`REJECT_LOG_ODDS`] that the responses of one server can contribute: a server
/// that fails for a reason of its own doesn't show that its version is faulty.
const MAX_FRACTION_PER_SERVER: f64 = 0.6;

/// The log odds in favour of a version, over all rules, from which on it may get all requests: 400
/// to 1.
const TRUST_LOG_ODDS: f64 = 6.0;

/// The same for each busy rule by itself: only 12 to 1, as some of them get one request a second.
const TRUST_LOG_ODDS_PER_RULE: f64 = 2.5;

/// The maximum of the log odds in favour: a version that was good for long must lose its trust soon
/// when it turns bad.
const MAX_TRUST_LOG_ODDS: f64 = 8.0;

/// The log odds in favour of and against a version, as cumulative sums that never fall below zero.
#[derive(Clone, Debug, Default)]
struct LogOdds {
    in_favour: f64,
    against: f64,
    /// What each server has contributed to `against` since that was last zero.
    by_server: HashMap<Arc<str>, f64>,
    /// The number of responses.
    count: usize,
    /// The number of bad responses.
    bad: usize,
}

impl LogOdds {
    /// Adds a response of `server`, one of `server_count` servers of the version, that shifts the
    /// log odds by `shift`.
    fn add(&mut self, server: &Arc<str>, is_bad: bool, shift: f64, server_count: usize) {
        self.count += 1;
        self.bad += usize::from(is_bad);
        self.in_favour = (self.in_favour - shift).clamp(0.0, MAX_TRUST_LOG_ODDS);
        let contribution = self.by_server.entry(Arc::clone(server)).or_default();
        let max_contribution = if server_count > 1 {
            REJECT_LOG_ODDS * MAX_FRACTION_PER_SERVER
        } else {
            REJECT_LOG_ODDS
        };
        let shift = shift.min(max_contribution - *contribution);
        *contribution += shift;
        self.against += shift;
        if self.against <= 0.0 {
            self.against = 0.0;
            self.by_server.clear();
        }
    }
}

/// The evidence on which a version is rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The rule whose responses are the evidence; `None` if it is those of all rules together.
    pub rule: Option<Arc<str>>,
    /// The number of responses, and how many of them were bad.
    pub responses: (usize, usize),
    /// The log odds that the version is faulty.
    pub log_odds: f64,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (all, bad) = self.responses;
        let rule = self.rule.as_deref().unwrap_or("all");
        let odds = self.log_odds;
        write!(f, "rule={rule} answers={all} bad={bad} odds={odds:.1}")
    }
}

/// Judges a version by its responses. Memory is linear in the rules times the version's servers.
///
/// # Examples
///
/// ```
/// use curlewlift_core::pool::AttemptOutcome;
/// use curlewlift_core::rollout::Baseline;
/// use curlewlift_core::rollout::Judge;
/// use curlewlift_core::rollout::Sample;
/// let mut judge = Judge::default();
/// let baseline = Baseline::default();
/// for server in ["s1", "s2", "s1", "s2"] {
///     let outcome = AttemptOutcome::Failed;
///     let sample = Sample { rule: "chat".into(), server: server.into(), outcome };
///     judge.record(&sample, &baseline, 2, true);
/// }
/// assert!(judge.evidence_against().is_some(), "two servers failed twice each");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Judge {
    all: LogOdds,
    rules: BTreeMap<Arc<str>, LogOdds>,
}

impl Judge {
    /// Records a response of the version, which has `server_count` servers.
    ///
    /// A response that is slow is bad only if `latency_counts`.
    pub fn record(
        &mut self,
        sample: &Sample,
        baseline: &Baseline,
        server_count: usize,
        latency_counts: bool,
    ) {
        let Some((is_bad, typical_bad_rate)) = baseline.classify(sample, latency_counts) else {
            return;
        };
        let shift = shift(is_bad, typical_bad_rate);
        self.all.add(&sample.server, is_bad, shift, server_count);
        let rule = self.rules.entry(Arc::clone(&sample.rule)).or_default();
        rule.add(&sample.server, is_bad, shift, server_count);
    }

    /// The evidence on which the version is to be rejected, if there is enough.
    #[must_use]
    pub fn evidence_against(&self) -> Option<Evidence> {
        let rules = self.rules.iter().map(|(rule, odds)| (Some(rule), odds));
        let mut all = std::iter::once((None, &self.all)).chain(rules);
        let (rule, odds) = all.find(|(_, odds)| odds.against >= REJECT_LOG_ODDS)?;
        Some(Evidence {
            rule: rule.cloned(),
            responses: (odds.count, odds.bad),
            log_odds: odds.against,
        })
    }

    /// Whether the responses under all rules together are good enough to trust the version.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        self.all.in_favour >= TRUST_LOG_ODDS
    }

    /// Those of `rules` under which there aren't enough good responses to trust the version.
    pub fn untrusted_rules<'a>(&self, rules: impl Iterator<Item = &'a Arc<str>>) -> Vec<Arc<str>> {
        let in_favour = |rule: &Arc<str>| self.rules.get(rule).map_or(0.0, |odds| odds.in_favour);
        let untrusted = rules.filter(|rule| in_favour(rule) < TRUST_LOG_ODDS_PER_RULE);
        untrusted.cloned().collect()
    }

    /// The number of recorded responses.
    #[must_use]
    pub fn response_count(&self) -> usize {
        self.all.count
    }
}

/// The amount by which a response shifts the log odds that the version is faulty: the log
/// likelihood ratio of the response between a faulty version and one with the typical rate of bad
/// responses.
fn shift(is_bad: bool, typical_bad_rate: f64) -> f64 {
    let bad_rate = (typical_bad_rate + BAD_RATE_INCREASE).min(MAX_BAD_RATE);
    if is_bad {
        (bad_rate / typical_bad_rate).ln()
    } else {
        ((1.0 - bad_rate) / (1.0 - typical_bad_rate)).ln()
    }
}
