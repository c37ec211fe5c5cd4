//! One backend server: what is set, and what its answers have shown.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::unit::Rate;
use crate::unit::Tokens;

use super::speed::Speed;

/// How much one observation weighs against those before.
const GAIN: f64 = 0.2;

/// The slowest rate that is believed, in tokens a second.
const SLOWEST: f64 = 0.5;

/// A multiple of the expected time after which a missing first token counts as evidence.
const OVERDUE: f64 = 2.0;

/// Added to the expected time before a first token is overdue: scheduling noise.
const SLACK: Duration = Duration::from_millis(200);

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
    pub(super) running: u32,
    /// Prompt tokens that were sent and whose first token has not come.
    pub(super) backlog: Tokens,
    /// Prompt tokens a second, from evidence.
    pub(super) prefill: f64,
    /// Tokens a second for one request, from evidence.
    pub(super) decode: f64,
    /// By how much it is slower than its rates say, from first tokens that are overdue.
    pub(super) slow: f64,
    /// When the backlog was last drained by the first token of something.
    pub(super) moved: Instant,
    /// Under which speed the fleet has counted it.
    pub(super) counted: Option<Speed>,
}

impl Server {
    pub(super) fn new(spec: Spec, now: Instant) -> Self {
        Self {
            prefill: Tokens(spec.prefill.0).as_f64(),
            decode: Tokens(spec.decode.0).as_f64(),
            spec,
            live: true,
            running: 0,
            backlog: Tokens(0),
            slow: 1.0,
            moved: now,
            counted: None,
        }
    }

    /// Seconds until it could begin another prompt.
    pub(super) fn busy(&self) -> f64 {
        self.backlog.as_f64() / self.prefill * self.slow
    }

    /// Seconds to the first token of `prompt` uncached tokens.
    pub(super) fn first(&self, prompt: Tokens) -> f64 {
        self.busy() + prompt.as_f64() / self.prefill * self.slow
    }

    /// Seconds from the first token to the end of `output` tokens.
    pub(super) fn rest(&self, output: Tokens) -> f64 {
        output.as_f64() / self.decode * self.slow
    }

    /// How fast it is now.
    pub(super) fn speed(&self) -> Speed {
        Speed::new(self.prefill / self.slow, self.decode / self.slow)
    }

    /// A first token came `took` after the dispatch, for which `expected` was said.
    pub(super) fn on_first(&mut self, took: Duration, expected: Duration, now: Instant) {
        let ratio = (took.as_secs_f64() + 0.001) / (expected.as_secs_f64() + 0.001);
        // Within noise the rate stays; a burst of short prompts says little of the rate.
        if took.abs_diff(expected) > Duration::from_millis(20) {
            let target = self.prefill / ratio.clamp(0.2, 5.0);
            self.prefill += GAIN * (target - self.prefill);
            self.prefill = self.prefill.max(SLOWEST);
        }
        self.slow = 1.0;
        self.moved = now;
    }

    /// `tokens` came in `took` for one request.
    pub(super) fn on_tokens(&mut self, tokens: Tokens, took: Duration) {
        if took.is_zero() {
            return;
        }
        let rate = tokens.as_f64() / took.as_secs_f64();
        self.decode += GAIN * (rate - self.decode);
        self.decode = self.decode.max(SLOWEST);
    }

    /// Looks whether first tokens are overdue.
    pub(super) fn watch(&mut self, now: Instant) {
        if self.backlog == Tokens(0) {
            self.slow = 1.0;
            self.moved = now;
            return;
        }
        let expected = self.backlog.as_f64() / self.prefill;
        let silent = now.since(self.moved).saturating_sub(SLACK).as_secs_f64();
        let ratio = silent / (expected + 0.01);
        self.slow = if ratio > OVERDUE { ratio } else { self.slow };
    }
}
