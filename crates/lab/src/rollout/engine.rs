//! A server of either version: how long its answers take, and which are bad.

use std::time::Duration;

use curlewlift_core::gateway::Server;
use curlewlift_core::pool::AttemptOutcome;
use rand::RngExt;
use rand::rngs::SmallRng;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Four in ten answers are failures.
    Fails,
    /// Half of the answers are failures, from four seconds after the order on.
    FailsLater,
    /// Seven in ten answers are failures where a server runs half as much as it may.
    FailsUnderLoad,
    /// Six in ten answers under the least asked rule are failures.
    FailsOneRule,
    /// All answers come four times slower.
    Slow,
    /// Half of the answers come five times slower, from four seconds after the order on.
    SlowLater,
}

impl Fault {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Fails,
        Self::FailsLater,
        Self::FailsUnderLoad,
        Self::FailsOneRule,
        Self::Slow,
        Self::SlowLater,
    ];

    /// How long after the order it is bad, in milliseconds.
    fn begins_ms(self) -> u64 {
        match self {
            Self::FailsLater | Self::SlowLater => 4_000,
            _ => 0,
        }
    }
}

/// A rule: how often it is asked, the time to the first byte of an answer and between two pieces in
/// milliseconds, the pieces, and the part of its answers that fail anyway.
pub(super) struct Rule {
    pub(super) name: &'static str,
    pub(super) often: f64,
    first: f64,
    gap: f64,
    pieces: f64,
    fails: f64,
}

/// The rules of the service, the least asked one last.
pub(super) const RULES: [Rule; 3] = [
    Rule {
        name: "brief",
        often: 0.5,
        first: 90.0,
        gap: 20.0,
        pieces: 13.0,
        fails: 0.003,
    },
    Rule {
        name: "commentary",
        often: 0.35,
        first: 30.0,
        gap: 20.0,
        pieces: 30.0,
        fails: 0.003,
    },
    Rule {
        name: "fetch",
        often: 0.15,
        first: 15.0,
        gap: 0.0,
        pieces: 0.0,
        fails: 0.12,
    },
];

/// A server as it behaves.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) server: Server,
    pub(super) is_new: bool,
    /// How much slower it is than the fastest.
    pub(super) pace: f64,
    pub(super) running: u32,
    /// It fails so much of its answers for a reason of its own.
    pub(super) grey: f64,
    /// Until when it is down, in milliseconds.
    pub(super) down_until: u64,
}

/// What an answer comes to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Play {
    pub(super) end: AttemptOutcome,
    /// When it ends, in milliseconds after its begin.
    pub(super) takes: u64,
    /// Whether its version's fault made it so.
    pub(super) is_bad: bool,
}

impl Engine {
    /// The answer to a request under a rule; `fault` is that of its version, `age` the time since the order.
    pub(super) fn play(
        &self,
        rule: usize,
        fault: Option<Fault>,
        age: u64,
        random: &mut SmallRng,
    ) -> Play {
        let Rule {
            first,
            gap,
            pieces,
            fails,
            ..
        } = RULES[rule];
        let fault = fault.filter(|fault| self.is_new && age >= fault.begins_ms());
        let lot: f64 = random.random();
        let is_loaded = self.running * 2 >= self.server.slots;
        let bad = fault.is_some_and(|fault| match fault {
            Fault::Fails => lot < 0.4,
            Fault::FailsLater | Fault::SlowLater => lot < 0.5,
            Fault::FailsUnderLoad => is_loaded && lot < 0.7,
            Fault::FailsOneRule => rule == RULES.len() - 1 && lot < 0.6,
            Fault::Slow => true,
        });
        let slower = match fault {
            Some(Fault::Slow) => 4.0,
            Some(Fault::SlowLater) if bad => 5.0,
            _ => 1.0,
        };
        let is_slow = slower > 1.0;
        let load = 1.0 + 0.2 * f64::from(self.running);
        let spread =
            0.7 + 0.6 * random.random::<f64>() + if random.random_bool(0.03) { 2.0 } else { 0.0 };
        let each = self.pace * load * slower;
        let first = first * each * spread;
        let gap = gap * each * (0.9 + 0.2 * random.random::<f64>());
        let pieces = pieces * random.random_range(0.3..1.7);
        let fails = random.random_bool(fails) || random.random_bool(self.grey) || (bad && !is_slow);
        let ms = |time: f64| Duration::from_secs_f64(time / 1_000.0);
        if fails {
            return Play {
                end: AttemptOutcome::Failed,
                takes: first as u64 + 1,
                is_bad: bad,
            };
        }
        Play {
            end: AttemptOutcome::Answered {
                first_byte: ms(first),
                gap: (pieces > 1.0).then(|| ms(gap)),
            },
            takes: (first + gap * pieces) as u64 + 1,
            is_bad: bad,
        }
    }
}
