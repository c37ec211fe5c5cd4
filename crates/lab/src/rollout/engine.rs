//! A simulated server of either version: how long its responses take, and which fail or are slow.

use std::time::Duration;

use curlewlift_core::gateway::Server;
use curlewlift_core::pool::AttemptOutcome;
use rand::RngExt;
use rand::rngs::SmallRng;

/// A fault of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Four in ten requests fail.
    Fails,
    /// Half of the requests fail, from four seconds after the order on.
    FailsLater,
    /// Seven in ten requests fail while a server has at least half of its slots in use.
    FailsUnderLoad,
    /// Six in ten requests under the least used rule fail.
    FailsOneRule,
    /// All responses are four times slower.
    Slow,
    /// Half of the responses are five times slower, from four seconds after the order on.
    SlowLater,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 6] = [
        Self::Fails,
        Self::FailsLater,
        Self::FailsUnderLoad,
        Self::FailsOneRule,
        Self::Slow,
        Self::SlowLater,
    ];

    /// How long after the order it starts, in milliseconds.
    fn starts_after_ms(self) -> u64 {
        match self {
            Self::FailsLater | Self::SlowLater => 4_000,
            _ => 0,
        }
    }
}

/// A rule: its share of the requests, the times to the first byte of a response and between two chunks in milliseconds,
/// the number of chunks, and the share of requests that fail on a good version too.
pub(super) struct Rule {
    pub(super) name: &'static str,
    pub(super) share: f64,
    first_byte_ms: f64,
    gap_ms: f64,
    chunks: f64,
    failure_rate: f64,
}

/// The rules of the service, the least used one last.
pub(super) const RULES: [Rule; 3] = [
    Rule {
        name: "brief",
        share: 0.5,
        first_byte_ms: 90.0,
        gap_ms: 20.0,
        chunks: 13.0,
        failure_rate: 0.003,
    },
    Rule {
        name: "commentary",
        share: 0.35,
        first_byte_ms: 30.0,
        gap_ms: 20.0,
        chunks: 30.0,
        failure_rate: 0.003,
    },
    Rule {
        name: "fetch",
        share: 0.15,
        first_byte_ms: 15.0,
        gap_ms: 0.0,
        chunks: 0.0,
        failure_rate: 0.12,
    },
];

/// A simulated server.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) server: Server,
    pub(super) is_new: bool,
    /// How many times slower it is than the fastest server.
    pub(super) slowness: f64,
    pub(super) running: u32,
    /// The share of requests that fail for reasons unrelated to its version.
    pub(super) failure_rate: f64,
    /// Until when it is down, in milliseconds of simulated time.
    pub(super) down_until_ms: u64,
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) outcome: AttemptOutcome,
    /// When it ends, in milliseconds after its start.
    pub(super) duration_ms: u64,
    /// Whether the fault of the version affected it.
    pub(super) is_faulty: bool,
}

impl Engine {
    /// Simulates a request under a rule; `fault` is that of the new version, `age_ms` the time since the order.
    pub(super) fn run_request(
        &self,
        rule: usize,
        fault: Option<Fault>,
        age_ms: u64,
        random: &mut SmallRng,
    ) -> Attempt {
        let Rule {
            first_byte_ms,
            gap_ms,
            chunks,
            failure_rate,
            ..
        } = RULES[rule];
        let fault = fault.filter(|fault| self.is_new && age_ms >= fault.starts_after_ms());
        let random_value: f64 = random.random();
        let is_loaded = self.running * 2 >= self.server.slots;
        let is_faulty = fault.is_some_and(|fault| match fault {
            Fault::Fails => random_value < 0.4,
            Fault::FailsLater | Fault::SlowLater => random_value < 0.5,
            Fault::FailsUnderLoad => is_loaded && random_value < 0.7,
            Fault::FailsOneRule => rule == RULES.len() - 1 && random_value < 0.6,
            Fault::Slow => true,
        });
        let fault_slowdown = match fault {
            Some(Fault::Slow) => 4.0,
            Some(Fault::SlowLater) if is_faulty => 5.0,
            _ => 1.0,
        };
        let is_slow = fault_slowdown > 1.0;
        let load = 1.0 + 0.2 * f64::from(self.running);
        let variation =
            0.7 + 0.6 * random.random::<f64>() + if random.random_bool(0.03) { 2.0 } else { 0.0 };
        let slowdown = self.slowness * load * fault_slowdown;
        let first_byte_ms = first_byte_ms * slowdown * variation;
        let gap_ms = gap_ms * slowdown * (0.9 + 0.2 * random.random::<f64>());
        let chunks = chunks * random.random_range(0.3..1.7);
        let fails = random.random_bool(failure_rate)
            || random.random_bool(self.failure_rate)
            || (is_faulty && !is_slow);
        let ms = |time: f64| Duration::from_secs_f64(time / 1_000.0);
        if fails {
            return Attempt {
                outcome: AttemptOutcome::Failed,
                duration_ms: first_byte_ms as u64 + 1,
                is_faulty,
            };
        }
        Attempt {
            outcome: AttemptOutcome::Answered {
                first_byte: ms(first_byte_ms),
                gap: (chunks > 1.0).then(|| ms(gap_ms)),
            },
            duration_ms: (first_byte_ms + gap_ms * chunks) as u64 + 1,
            is_faulty,
        }
    }
}
