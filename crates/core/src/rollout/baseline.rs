//! The typical responses of the version that serves, as the baseline for those of a version on
//! trial.
//!
//! Load pattern: servers are of several generations, some of which are 2.7 times as fast as others
//! and get most of the requests; a burst makes all responses slow; some servers fail for reasons of
//! their own. Compared with the mean of all responses, a version whose servers are all of a slower
//! generation would look faulty, and during a burst every version would. So every server of the
//! serving version has the same weight, and only the newest responses count.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::pool::AttemptOutcome;

/// The number of responses of one server that count for a rule: a fast server must not outweigh the
/// others.
const MAX_RESPONSES_PER_SERVER: usize = 6;

/// The number of newest responses that count for a rule.
///
/// That is some 2 s of a busy rule, so that a burst which slows all servers shows in the baseline
/// before it shows in the few responses of a trial.
const MAX_RESPONSES_PER_RULE: usize = 256;

/// The minimum number of responses for a median, and for a rule to be busy. The baseline of a rule
/// is computed again after as many new ones.
const MIN_RESPONSES: usize = 12;

/// A rule is busy if at least one in so many responses belongs to it.
const BUSY_RULE_SHARE_DIVISOR: usize = 20;

/// A response is slow if it takes so many times the typical time.
///
/// This is above the ratio between two generations of servers (2.7), and below the slowdown of a
/// faulty version.
const SLOW_FACTOR: f64 = 3.0;

/// The minimum and the maximum rate of bad responses that is taken for typical.
const BAD_RATE_RANGE: (f64, f64) = (0.01, 0.6);

/// The outcome of one attempt, with the rule and the server.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The rule that the request matched.
    pub rule: Arc<str>,
    /// The incarnation of the server.
    pub server: Arc<str>,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// What an attempt shows of the version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Observation {
    /// The server failed.
    Failed,
    /// The server responded, with this time to the first byte and, for a stream, this mean time
    /// between two chunks, in seconds.
    Completed(f64, Option<f64>),
}

impl Observation {
    /// Converts an outcome; `None` if it shows nothing of the version.
    fn from_outcome(outcome: AttemptOutcome) -> Option<Self> {
        if let Some((first_byte, gap)) = outcome.answer_times() {
            let gap = gap.as_ref().map(Duration::as_secs_f64);
            return Some(Self::Completed(first_byte.as_secs_f64(), gap));
        }
        match outcome {
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                Some(Self::Failed)
            }
            AttemptOutcome::Full
            | AttemptOutcome::Backoff(_)
            | AttemptOutcome::Gone
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Unknown
            | AttemptOutcome::Answered { .. }
            | AttemptOutcome::Streamed(_)
            | AttemptOutcome::Began { .. } => None,
        }
    }

    /// Whether the attempt failed, or took many times the typical time.
    fn is_bad(self, baseline: RuleBaseline) -> bool {
        match self {
            Self::Failed => true,
            Self::Completed(first_byte, gap) => {
                let is_slow = |time: f64, typical: Option<f64>| {
                    typical.is_some_and(|typical| time > typical * SLOW_FACTOR)
                };
                is_slow(first_byte, baseline.first_byte)
                    || gap.is_some_and(|gap| is_slow(gap, baseline.gap))
            }
        }
    }
}

/// The typical times of a rule, in seconds, and the rate of bad responses.
#[derive(Clone, Copy, Debug, Default)]
struct RuleBaseline {
    /// The median time to the first byte; `None` if there are too few responses.
    first_byte: Option<f64>,
    /// The median time between two chunks; `None` if there are too few streams.
    gap: Option<f64>,
    /// The rate of responses that failed, or are slow compared with the medians.
    bad_rate: f64,
}

/// The newest responses under one rule.
#[derive(Clone, Debug, Default)]
struct RuleWindow {
    newest: VecDeque<(Arc<str>, Observation)>,
    counts_by_server: HashMap<Arc<str>, usize>,
    baseline: RuleBaseline,
    /// The number of all responses so far.
    total: usize,
    /// The number of responses since the baseline was computed.
    since_update: usize,
}

impl RuleWindow {
    fn add(&mut self, server: &Arc<str>, observation: Observation) {
        let count = self.counts_by_server.entry(Arc::clone(server)).or_default();
        *count += 1;
        if *count > MAX_RESPONSES_PER_SERVER {
            let oldest = self.newest.iter().position(|(other, _)| other == server);
            oldest.map(|index| self.newest.remove(index));
            *count -= 1;
        }
        self.newest.push_back((Arc::clone(server), observation));
        if self.newest.len() > MAX_RESPONSES_PER_RULE
            && let Some((server, _)) = self.newest.pop_front()
            && let Some(count) = self.counts_by_server.get_mut(&server)
        {
            *count -= 1;
            if *count == 0 {
                self.counts_by_server.remove(&server);
            }
        }
        self.total += 1;
        self.since_update += 1;
        // Computing the medians of 256 numbers for each of 1,000 responses a second would take 1%
        // of a core.
        if self.since_update >= MIN_RESPONSES {
            self.since_update = 0;
            self.baseline = self.compute_baseline();
        }
    }

    fn compute_baseline(&self) -> RuleBaseline {
        let completed = self
            .newest
            .iter()
            .filter_map(|(_, observation)| match observation {
                Observation::Completed(first_byte, gap) => Some((*first_byte, *gap)),
                Observation::Failed => None,
            });
        let (first_bytes, gaps): (Vec<_>, Vec<_>) = completed.unzip();
        let mut baseline = RuleBaseline {
            first_byte: median(first_bytes),
            gap: median(gaps.into_iter().flatten().collect()),
            bad_rate: 0.0,
        };
        let bad = self
            .newest
            .iter()
            .filter(|(_, observation)| observation.is_bad(baseline));
        baseline.bad_rate = smoothed_fraction(bad.count(), self.newest.len());
        baseline
    }
}

/// The median; `None` of fewer than [`MIN_RESPONSES`] numbers.
fn median(mut numbers: Vec<f64>) -> Option<f64> {
    if numbers.len() < MIN_RESPONSES {
        return None;
    }
    let middle = numbers.len() / 2;
    let (_, median, _) = numbers.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// The fraction `count / all`, smoothed by one more sample that counts half: a rate that is hardly
/// known must be neither 0 nor 1.
#[allow(clippy::cast_precision_loss)]
fn smoothed_fraction(count: usize, all: usize) -> f64 {
    (count as f64 + 0.5) / (all as f64 + 1.0)
}

/// The typical responses of a service, by rule. Memory is bounded by 256 responses per rule.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    rules: BTreeMap<Arc<str>, RuleWindow>,
}

impl Baseline {
    /// Records a response of the serving version; returns whether it shows anything of the version.
    pub fn record(&mut self, sample: &Sample) -> bool {
        let Some(observation) = Observation::from_outcome(sample.outcome) else {
            return false;
        };
        let window = self.rules.entry(Arc::clone(&sample.rule)).or_default();
        window.add(&sample.server, observation);
        true
    }

    /// Returns whether a response is bad compared with the baseline, and the typical rate of bad
    /// responses under its rule.
    ///
    /// A response that is slow is bad only if `latency_counts`. `None` if the response shows
    /// nothing of its version.
    #[must_use]
    pub fn classify(&self, sample: &Sample, latency_counts: bool) -> Option<(bool, f64)> {
        let observation = Observation::from_outcome(sample.outcome)?;
        let baseline = self.rules.get(&sample.rule).map(|window| window.baseline);
        let baseline = baseline.unwrap_or_default();
        let is_bad =
            observation == Observation::Failed || (latency_counts && observation.is_bad(baseline));
        Some((
            is_bad,
            baseline.bad_rate.clamp(BAD_RATE_RANGE.0, BAD_RATE_RANGE.1),
        ))
    }

    /// The rules that a substantial part of the responses belongs to.
    pub fn busy_rules(&self) -> impl Iterator<Item = &Arc<str>> {
        let total: usize = self.rules.values().map(|window| window.total).sum();
        let busy = self.rules.iter();
        let busy = busy.filter(move |(_, window)| {
            window.total >= MIN_RESPONSES && window.total * BUSY_RULE_SHARE_DIVISOR >= total
        });
        busy.map(|(rule, _)| rule)
    }
}
