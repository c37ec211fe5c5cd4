//! Judges a version by its answers, against those of the version beside it.
//!
//! Load pattern: a tenth of a service's requests at most, a few a second for a rarely asked rule, over some
//! seconds. A bad version fails a part of its answers or gives them several times slower; at once or only
//! later, under load only, or under one rule only. Each answer that is bad or good shifts the odds, for its
//! rule and for all together; the sums never fall below nothing, so that what was good for long is no credit
//! against turning bad (Page's test). Fixed windows and a posterior of the whole trial were tried beside it:
//! docs/design/rollouts.md.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use super::Baseline;
use super::Sample;

/// By how much more of its answers a version must fail to be taken for bad. One that fails four in ten where one in
/// a hundred is usual is told by five bad answers in the mean, ten at the most (example `verdicts`).
const WORSE: f64 = 0.3;

/// The most of its answers that are taken to be bad.
const MOST: f64 = 0.95;

/// How sure the odds against a version must be, as a logarithm: of 2,000 good versions none came that far in 180
/// answers, where 1 or 12 in 100 of them fail anyway (example `verdicts`).
const SURE: f64 = 12.0;

/// The part of it that the answers of one server can bring: one that fails for a reason of its own does not
/// show that its version is bad.
const ONE_SERVER: f64 = 0.6;

/// How sure the odds for a version must be for it to get all requests, over all rules; 400 to 1.
const GOOD: f64 = 6.0;

/// The same for each rule that is often asked; 12 to 1, as some are asked once a second.
const GOOD_RULE: f64 = 2.5;

/// What the odds for a version grow to at the most: what was good for long is soon in doubt again.
const MOST_GOOD: f64 = 8.0;

/// What answers say for and against a version, as sums of odds that never fall below nothing.
#[derive(Clone, Debug, Default)]
struct Odds {
    in_favour: f64,
    against: f64,
    /// What each server has brought against it since that was nothing.
    servers: HashMap<Arc<str>, f64>,
    count: usize,
    bad: usize,
}

impl Odds {
    /// Takes an answer of `server` that shifts the odds by `shift`; one of `servers` servers.
    fn add(&mut self, server: &Arc<str>, is_bad: bool, shift: f64, servers: usize) {
        self.count += 1;
        self.bad += usize::from(is_bad);
        self.in_favour = (self.in_favour - shift).clamp(0.0, MOST_GOOD);
        let brought = self.servers.entry(Arc::clone(server)).or_default();
        let most = if servers > 1 { SURE * ONE_SERVER } else { SURE };
        let shift = shift.min(most - *brought);
        *brought += shift;
        self.against += shift;
        if self.against <= 0.0 {
            self.against = 0.0;
            self.servers.clear();
        }
    }
}

/// What speaks against a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The rule whose answers show it; none where those of all rules together do.
    pub rule: Option<Arc<str>>,
    /// The answers that count, and those of them that were bad.
    pub answers: (usize, usize),
    /// The logarithm of the odds.
    pub odds: f64,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (all, bad) = self.answers;
        let rule = self.rule.as_deref().unwrap_or("all");
        let odds = self.odds;
        write!(f, "rule={rule} answers={all} bad={bad} odds={odds:.1}")
    }
}

/// Judges a version by its answers; memory is linear in the rules and the version's servers.
///
/// # Examples
///
/// ```
/// use curlewlift_core::pool::AttemptOutcome;
/// use curlewlift_core::rollout::Judge;
/// use curlewlift_core::rollout::Sample;
/// use curlewlift_core::rollout::Baseline;
/// let mut judge = Judge::default();
/// let baseline = Baseline::default();
/// for server in ["s1", "s2", "s1", "s2"] {
///     let outcome = End::Failed;
///     let sample = Sample { rule: "chat".into(), server: server.into(), outcome };
///     judge.record(&sample, &baseline, 2, true);
/// }
/// assert!(judge.evidence_against().is_some(), "four failures of two servers, where one in a hundred is usual");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Judge {
    all: Odds,
    rules: BTreeMap<Arc<str>, Odds>,
}

impl Judge {
    /// Takes up an answer of the version, which has so many `servers`; where times do not count, one that is only
    /// slow is good.
    pub fn record(
        &mut self,
        sample: &Sample,
        baseline: &Baseline,
        servers: usize,
        times_count: bool,
    ) {
        let Some((is_bad, often)) = baseline.classify(sample, times_count) else {
            return;
        };
        let shift = shift(is_bad, often);
        self.all.add(&sample.server, is_bad, shift, servers);
        let rule = self.rules.entry(Arc::clone(&sample.rule)).or_default();
        rule.add(&sample.server, is_bad, shift, servers);
    }

    /// What speaks surely against the version.
    #[must_use]
    pub fn evidence_against(&self) -> Option<Evidence> {
        let rules = self.rules.iter().map(|(rule, odds)| (Some(rule), odds));
        let mut all = std::iter::once((None, &self.all)).chain(rules);
        let (rule, odds) = all.find(|(_, odds)| odds.against >= SURE)?;
        Some(Evidence {
            rule: rule.cloned(),
            answers: (odds.count, odds.bad),
            odds: odds.against,
        })
    }

    /// Whether its answers, over all rules, speak for it.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        self.all.in_favour >= GOOD
    }

    /// Those of `rules` under which its answers do not speak for it yet.
    pub fn untrusted_rules<'a>(&self, rules: impl Iterator<Item = &'a Arc<str>>) -> Vec<Arc<str>> {
        let in_favour = |rule: &Arc<str>| self.rules.get(rule).map_or(0.0, |odds| odds.in_favour);
        let lacking = rules.filter(|rule| in_favour(rule) < GOOD_RULE);
        lacking.cloned().collect()
    }

    /// How many answers have counted.
    #[must_use]
    pub fn response_count(&self) -> usize {
        self.all.count
    }
}

/// By how much an answer shifts the odds that the version is bad, where bad ones are usual so `often`.
fn shift(is_bad: bool, often: f64) -> f64 {
    let worse = (often + WORSE).min(MOST);
    if is_bad {
        (worse / often).ln()
    } else {
        ((1.0 - worse) / (1.0 - often)).ln()
    }
}
