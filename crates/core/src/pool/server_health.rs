//! Whether a backend server is worth a request now, by what came of the last ones.

use std::time::Duration;

use crate::clock::Instant;

/// The first time that a server is left alone after it broke off or was silent.
const FIRST: Duration = Duration::from_millis(400);

/// The longest time that it is left alone: then one request tries it again.
const LONGEST: Duration = Duration::from_secs(5);

/// How long a server that has no room is left alone: some requests' time at a fast engine.
const FULL: Duration = Duration::from_millis(120);

/// How often in a row a server may have broken for it to be tried where no other is better.
const LAST_RESORT: u32 = 2;

/// The weight of one answer in the part of failures.
const WEIGHT: f64 = 0.15;

/// What is known of a server's failures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerHealth {
    breaks: u32,
    until: Option<Instant>,
    failures: f64,
    /// Whether it asked some host for rest and has answered nobody since.
    wary: bool,
}

impl ServerHealth {
    /// An answer came.
    pub fn record_answer(&mut self) {
        self.breaks = 0;
        self.wary = false;
        self.until = None;
        self.failures *= 1.0 - WEIGHT;
    }

    /// It answered that it failed.
    pub fn record_failure(&mut self) {
        self.failures += (1.0 - self.failures) * WEIGHT;
    }

    /// It broke off, was silent or could not be reached.
    pub fn record_break(&mut self, now: Instant) {
        self.record_failure();
        self.breaks = self.breaks.saturating_add(1);
        let doubled = FIRST * 2_u32.saturating_pow(self.breaks.min(8) - 1);
        self.until = Some(now + doubled.min(LONGEST));
    }

    /// It has no room.
    pub fn record_full(&mut self, now: Instant) {
        self.until = Some(now + FULL);
    }

    /// It asked a host for rest.
    pub fn record_backoff(&mut self, now: Instant) {
        self.record_full(now);
        self.wary = true;
    }

    /// It is given a request. One that asked for rest gets them one by one until it has answered one: given places as
    /// room was, five to eight of those that waited met it within 0.1 s of the end of its rest and were turned away
    /// once more; two or three do now (model of 12 gateways and nine servers, medians and most of 20 seeds).
    pub fn record_assignment(&mut self, now: Instant) {
        if self.wary {
            let next = now + FULL;
            self.until = Some(self.until.map_or(next, |until| until.max(next)));
        }
    }

    /// Whether it is to be left alone at `now`.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// For how much longer it is to be left alone.
    #[must_use]
    pub fn avoid_for(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Whether it may be sent something at `now`. Where all servers are suspect, a break or two
    /// tell none from another, and trying is better than refusing.
    #[must_use]
    pub fn is_usable(&self, all_suspect: bool, now: Instant) -> bool {
        !self.is_suspect(now) || (all_suspect && (1..=LAST_RESORT).contains(&self.breaks))
    }

    /// How little it is to be preferred among servers that are otherwise alike, 0 to 4.
    pub(super) fn failure_grade(&self) -> u8 {
        match self.failures {
            failures if failures < 0.05 => 0,
            failures if failures < 0.15 => 1,
            failures if failures < 0.35 => 2,
            failures if failures < 0.6 => 3,
            _ => 4,
        }
    }

    /// The part of its last answers that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failures
    }
}
