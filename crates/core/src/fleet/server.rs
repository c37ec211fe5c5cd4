//! One backend server: its configuration, and the rates measured from its responses.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::unit::Rate;
use crate::unit::Tokens;

use super::speed::Speed;

/// Weight of a new observation in the moving averages of the rates.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Lower bound of the measured rates.
const MIN_TOKENS_PER_SECOND: f64 = 0.5;

/// A server counts as slow if no first token has come for this multiple of the expected time.
const OVERDUE_FACTOR: f64 = 2.0;

/// Additional time before a first token is overdue, to allow for scheduling noise.
const OVERDUE_SLACK: Duration = Duration::from_millis(200);

/// The configuration of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its name.
    pub name: id::Server,
    /// Its data hall.
    pub hall: id::Hall,
    /// How many requests it runs at the same time.
    pub slots: u32,
    /// Expected number of prompt tokens processed per second.
    pub prefill: Rate,
    /// Expected number of tokens generated per second for one request.
    pub decode: Rate,
}

/// The state of a server, as the owner of the queue sees it.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) spec: Spec,
    pub(super) live: bool,
    pub(super) running_requests: u32,
    /// Uncached prompt tokens of the requests that were sent and have no first token yet.
    pub(super) backlog: Tokens,
    /// Measured number of prompt tokens processed per second.
    pub(super) prefill_rate: f64,
    /// Measured number of tokens generated per second for one request.
    pub(super) decode_rate: f64,
    /// Factor by which it is slower than the measured rates, because first tokens are overdue.
    pub(super) slowdown: f64,
    /// When the last first token of any request came, or the backlog was last empty.
    pub(super) last_progress: Instant,
    /// The speed under which the fleet counts it; `None` if it is not live.
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

    /// Seconds until it can start to process another prompt.
    pub(super) fn backlog_seconds(&self) -> f64 {
        self.backlog.as_f64() / self.prefill_rate * self.slowdown
    }

    /// Seconds to the first token for a prompt of `prompt` uncached tokens.
    pub(super) fn first_token_seconds(&self, prompt: Tokens) -> f64 {
        self.backlog_seconds() + prompt.as_f64() / self.prefill_rate * self.slowdown
    }

    /// Seconds from the first token to the end of a response of `output` tokens.
    pub(super) fn decode_seconds(&self, output: Tokens) -> f64 {
        output.as_f64() / self.decode_rate * self.slowdown
    }

    /// Its current speed, slowdown included.
    pub(super) fn speed(&self) -> Speed {
        Speed::new(
            self.prefill_rate / self.slowdown,
            self.decode_rate / self.slowdown,
        )
    }

    /// Updates the prefill rate from a first token that came `took` after the dispatch instead of the
    /// `expected` time.
    pub(super) fn on_first_token(&mut self, took: Duration, expected: Duration, now: Instant) {
        let ratio = (took.as_secs_f64() + 0.001) / (expected.as_secs_f64() + 0.001);
        // Differences up to 20 ms are noise: a burst of short prompts says little about the rate.
        if took.abs_diff(expected) > Duration::from_millis(20) {
            let target = self.prefill_rate / ratio.clamp(0.2, 5.0);
            self.prefill_rate += SMOOTHING_FACTOR * (target - self.prefill_rate);
            self.prefill_rate = self.prefill_rate.max(MIN_TOKENS_PER_SECOND);
        }
        self.slowdown = 1.0;
        self.last_progress = now;
    }

    /// Updates the decode rate after `tokens` came for one request in `took`.
    pub(super) fn on_tokens(&mut self, tokens: Tokens, took: Duration) {
        if took.is_zero() {
            return;
        }
        let rate = tokens.as_f64() / took.as_secs_f64();
        self.decode_rate += SMOOTHING_FACTOR * (rate - self.decode_rate);
        self.decode_rate = self.decode_rate.max(MIN_TOKENS_PER_SECOND);
    }

    /// Updates the slowdown if first tokens are overdue at `now`.
    pub(super) fn check_overdue(&mut self, now: Instant) {
        if self.backlog == Tokens(0) {
            self.slowdown = 1.0;
            self.last_progress = now;
            return;
        }
        let expected = self.backlog.as_f64() / self.prefill_rate;
        let waited = now
            .since(self.last_progress)
            .saturating_sub(OVERDUE_SLACK)
            .as_secs_f64();
        let ratio = waited / (expected + 0.01);
        self.slowdown = if ratio > OVERDUE_FACTOR {
            ratio
        } else {
            self.slowdown
        };
    }
}
