//! What answers of a service usually look like, as a measure for those of another version.
//!
//! Load pattern: servers of several generations, of which some are 2.7 times as fast as others and get most
//! of the work; a burst makes all answers slow; some servers fail for reasons of their own. Against the mean
//! of all answers a version whose servers are all of the slower generation looks bad, and under a burst every
//! version does. So each server of the other version counts alike, and what they show now is the measure.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::pool::AttemptOutcome;

/// How many answers of one server to requests of one rule count: one fast server must not outvote the rest.
const EACH: usize = 6;

/// How many answers count for a rule, newest first: some 2 s of a busy rule, so that a burst which slows all
/// is in the measure before a trial's few answers show it.
const NEWEST: usize = 256;

/// From how many answers on there is a measure.
const ENOUGH: usize = 12;

/// One of so many answers, at least, belongs to a rule that is often asked.
const BUSY: usize = 20;

/// How many times the usual time makes an answer slow: above what one generation takes more than another
/// (2.7), below what several times slower means.
const SLOW: f64 = 3.0;

/// The least and the most part of bad answers that is taken for usual.
const USUAL: (f64, f64) = (0.01, 0.6);

/// What an answer showed.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The rule that its request came under.
    pub rule: Arc<str>,
    /// The incarnation that answered.
    pub server: Arc<str>,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// The times of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shown {
    Failed,
    /// The time to the first byte, and between two pieces of a stream, in seconds.
    Answered(f64, Option<f64>),
}

impl Shown {
    /// None where the end says nothing of the version.
    fn of(end: AttemptOutcome) -> Option<Self> {
        match end {
            AttemptOutcome::Answered { first_byte, gap } => {
                let gap = gap.as_ref().map(Duration::as_secs_f64);
                Some(Self::Answered(first_byte.as_secs_f64(), gap))
            }
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                Some(Self::Failed)
            }
            AttemptOutcome::Full
            | AttemptOutcome::Backoff(_)
            | AttemptOutcome::Gone
            | AttemptOutcome::Unknown => None,
        }
    }

    /// Whether it failed, or took many times what is usual.
    fn is_bad(self, usual: Usual) -> bool {
        match self {
            Self::Failed => true,
            Self::Answered(first, gap) => {
                let slow =
                    |time: f64, usual: Option<f64>| usual.is_some_and(|usual| time > usual * SLOW);
                slow(first, usual.first) || gap.is_some_and(|gap| slow(gap, usual.gap))
            }
        }
    }
}

/// The usual times of a rule, in seconds, and the part of its answers that are bad by them.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    first: Option<f64>,
    gap: Option<f64>,
    bad: f64,
}

/// The newest answers to requests of a rule.
#[derive(Clone, Debug, Default)]
struct Kept {
    newest: VecDeque<(Arc<str>, Shown)>,
    counts: HashMap<Arc<str>, usize>,
    usual: Usual,
    /// How many came in all.
    all: usize,
    /// How many came since the usual was worked out.
    since: usize,
}

impl Kept {
    fn add(&mut self, server: &Arc<str>, shown: Shown) {
        let count = self.counts.entry(Arc::clone(server)).or_default();
        *count += 1;
        if *count > EACH {
            let oldest = self.newest.iter().position(|(other, _)| other == server);
            oldest.map(|place| self.newest.remove(place));
            *count -= 1;
        }
        self.newest.push_back((Arc::clone(server), shown));
        if self.newest.len() > NEWEST
            && let Some((server, _)) = self.newest.pop_front()
            && let Some(count) = self.counts.get_mut(&server)
        {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&server);
            }
        }
        self.all += 1;
        self.since += 1;
        // Sorting 256 numbers for each of 1,000 answers a second would take a hundredth of a core.
        if self.since >= ENOUGH {
            self.since = 0;
            self.usual = self.work_out();
        }
    }

    fn work_out(&self) -> Usual {
        let answered = self.newest.iter().filter_map(|(_, shown)| match shown {
            Shown::Answered(first, gap) => Some((*first, *gap)),
            Shown::Failed => None,
        });
        let (firsts, gaps): (Vec<_>, Vec<_>) = answered.unzip();
        let mut usual = Usual {
            first: median(firsts),
            gap: median(gaps.into_iter().flatten().collect()),
            bad: 0.0,
        };
        let bad = self.newest.iter().filter(|(_, shown)| shown.is_bad(usual));
        usual.bad = part(bad.count(), self.newest.len());
        usual
    }
}

/// The number in the middle; none of fewer than [`ENOUGH`].
fn median(mut numbers: Vec<f64>) -> Option<f64> {
    if numbers.len() < ENOUGH {
        return None;
    }
    let middle = numbers.len() / 2;
    let (_, median, _) = numbers.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// `count` of `all`, as of two more, of which half: a part that is not known is neither 0 nor 1.
#[allow(clippy::cast_precision_loss)]
fn part(count: usize, all: usize) -> f64 {
    (count as f64 + 0.5) / (all as f64 + 1.0)
}

/// What answers of a service usually look like, by rule; memory is bounded by 256 answers a rule.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    rules: BTreeMap<Arc<str>, Kept>,
}

impl Baseline {
    /// Takes up an answer of the version that serves; whether it showed anything.
    pub fn record(&mut self, sample: &Sample) -> bool {
        let Some(shown) = Shown::of(sample.outcome) else {
            return false;
        };
        let kept = self.rules.entry(Arc::clone(&sample.rule)).or_default();
        kept.add(&sample.server, shown);
        true
    }

    /// Whether an answer is bad by this measure, for being slow only where times count; and the part of usual
    /// answers that are. None where it shows nothing.
    #[must_use]
    pub fn classify(&self, sample: &Sample, times_count: bool) -> Option<(bool, f64)> {
        let shown = Shown::of(sample.outcome)?;
        let usual = self.rules.get(&sample.rule).map(|kept| kept.usual);
        let usual = usual.unwrap_or_default();
        let is_bad = shown == Shown::Failed || (times_count && shown.is_bad(usual));
        Some((is_bad, usual.bad.clamp(USUAL.0, USUAL.1)))
    }

    /// The rules that answers often belong to.
    pub fn busy_rules(&self) -> impl Iterator<Item = &Arc<str>> {
        let all: usize = self.rules.values().map(|kept| kept.all).sum();
        let busy = self.rules.iter();
        let busy = busy.filter(move |(_, kept)| kept.all >= ENOUGH && kept.all * BUSY >= all);
        busy.map(|(rule, _)| rule)
    }
}
