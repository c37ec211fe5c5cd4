//! One backend server: what is set, and what its answers have shown.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::unit::Rate;
use crate::unit::Tokens;

use super::speed::Speed;

/// How much one observation weighs against those before.
const SMOOTHING_FACTOR: f64 = 0.2;

/// The slowest rate that is believed, in tokens a second.
const MIN_TOKENS_PER_SECOND: f64 = 0.5;

/// A multiple of the expected time after which a missing first token counts as evidence.
const OVERDUE_FACTOR: f64 = 2.0;

/// Added to the expected time before a first token is overdue: scheduling noise.
const OVERDUE_SLACK: Duration = Duration::from_millis(200);

/// What is set for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its name.
    pub name: id::Server,
    /// The data hall that it stands in.
    pub hall: id::Hall,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens a second, expected.
    pub prefill: Rate,
    /// Tokens a second for one request, expected.
    pub decode: Rate,
}

/// A server's state at the owner.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) spec: Spec,
    pub(super) live: bool,
    pub(super) running_requests: u32,
    /// Prompt tokens that were sent and whose first token has not come.
    pub(super) backlog: Tokens,
    /// Prompt tokens a second, from evidence.
    pub(super) prefill_rate: f64,
    /// Tokens a second for one request, from evidence.
    pub(super) decode_rate: f64,
    /// By how much it is slower than its rates say, from first tokens that are overdue.
    pub(super) slowdown: f64,
    /// When the backlog was last drained by the first token of something.
    pub(super) last_progress: Instant,
    /// Under which speed the fleet has counted it.
    pub(super) counted_speed: Option<Speed>,
}

impl Server {
    pub(super) fn new(spec: Spec, now: Instant) -> Self {
        Self {
            prefill_rate: Tokens(spec.prefill.0).as_f64(),
            decode_rate: Tokens(spec.decode.0).as_f64(),
            spec,
            live: true,
            running_requests: 0,
            backlog: Tokens(0),
            slowdown: 1.0,
            last_progress: now,
            counted_speed: None,
        }
    }

    /// Seconds until it could begin another prompt.
    pub(super) fn backlog_seconds(&self) -> f64 {
        self.backlog.as_f64() / self.prefill_rate * self.slowdown
    }

    /// Seconds to the first token of `prompt` uncached tokens.
    pub(super) fn first_token_seconds(&self, prompt: Tokens) -> f64 {
        self.backlog_seconds() + prompt.as_f64() / self.prefill_rate * self.slowdown
    }

    /// Seconds from the first token to the end of `output` tokens.
    pub(super) fn decode_seconds(&self, output: Tokens) -> f64 {
        output.as_f64() / self.decode_rate * self.slowdown
    }

    /// How fast it is now.
    pub(super) fn speed(&self) -> Speed {
        Speed::new(
            self.prefill_rate / self.slowdown,
            self.decode_rate / self.slowdown,
        )
    }

    /// A first token came `took` after the dispatch, for which `expected` was said.
    pub(super) fn on_first_token(&mut self, took: Duration, expected: Duration, now: Instant) {
        let ratio = (took.as_secs_f64() + 0.001) / (expected.as_secs_f64() + 0.001);
        // Within noise the rate stays; a burst of short prompts says little of the rate.
        if took.abs_diff(expected) > Duration::from_millis(20) {
            let target = self.prefill_rate / ratio.clamp(0.2, 5.0);
            self.prefill_rate += SMOOTHING_FACTOR * (target - self.prefill_rate);
            self.prefill_rate = self.prefill_rate.max(MIN_TOKENS_PER_SECOND);
        }
        self.slowdown = 1.0;
        self.last_progress = now;
    }

    /// `tokens` came in `took` for one request.
    pub(super) fn on_tokens(&mut self, tokens: Tokens, took: Duration) {
        if took.is_zero() {
            return;
        }
        let rate = tokens.as_f64() / took.as_secs_f64();
        self.decode_rate += SMOOTHING_FACTOR * (rate - self.decode_rate);
        self.decode_rate = self.decode_rate.max(MIN_TOKENS_PER_SECOND);
    }

    /// Looks whether first tokens are overdue.
    pub(super) fn check_overdue(&mut self, now: Instant) {
        if self.backlog == Tokens(0) {
            self.slowdown = 1.0;
            self.last_progress = now;
            return;
        }
        let expected = self.backlog.as_f64() / self.prefill_rate;
        let silent = now
            .since(self.last_progress)
            .saturating_sub(OVERDUE_SLACK)
            .as_secs_f64();
        let ratio = silent / (expected + 0.01);
        self.slowdown = if ratio > OVERDUE_FACTOR {
            ratio
        } else {
            self.slowdown
        };
    }
}
