//! Estimates when the response of a request begins at an engine, and how long its stream pauses there.
//!
//! What engines have in common (how the time to the first event grows with the tokens to read, and the time between two
//! events with the requests in flight) is measured over all engines of the service, each relative to its own pace. So a
//! few responses of an engine are enough to know its pace.

use std::time::Duration;

use crate::clock::Instant;
use crate::route::Engine;
use crate::unit::Tokens;

use super::Request;
use super::Ticket;
use super::release::ReportedLoad;
use super::request::StreamTimes;

/// The fewest streams of a service from which estimates are made; before, servers are chosen as without them.
const MIN_STREAMS: u32 = 16;

/// The weight of a new measurement of an engine that is measured all the time: the estimate follows a change within some
/// four responses.
const MEASUREMENT_WEIGHT: f64 = 0.25;

/// The weight that each further sample takes from the former ones of the service, so that some 200 count.
const SAMPLE_DECAY: f64 = 0.995;

/// The fewest gaps between events from which a stream's longest gap is typical; short streams seldom meet a long prompt.
const MIN_GAPS: f64 = 8.0;

/// The length, in tokens, from which a prompt counts as long. Reading one takes longer than a few events.
const LONG_PROMPT: Tokens = Tokens(10_000);

/// The weight of a longer gap in what is read between two events. The estimate is near the longest ones, because the
/// objective applies to the longest gap.
const LONGER_WEIGHT: f64 = 0.1;

/// The weight of a shorter gap in what is read between two events. With 0.01, long prompts among the streams of slow
/// engines made 119 of 7,619 streams exceed their gaps, with this 77 of 7,594.
const SHORTER_WEIGHT: f64 = 0.001;

/// The weight of a measurement in an engine's usual pace, so that a fault of some seconds hardly changes it.
const USUAL_WEIGHT: f64 = 0.01;

/// How many times its usual time an engine takes before it is reported as slow.
const SLOW_FACTOR: f64 = 3.0;

/// How many times its usual time an engine takes at most when it is reported as recovered.
const RECOVERED_FACTOR: f64 = 1.5;

/// The age after which a request that has not ended counts as lost; longer ones are rare.
const MAX_AGE: Duration = Duration::from_mins(1);

/// From the grant until the gateway has connected and sent the request: two round trips between data halls, and the
/// delay of a busy host.
const GRANT_TRAVEL: Duration = Duration::from_millis(20);

/// How many times its estimated time a request may take until the absence of its first event says that the engine has
/// become slow.
const OVERDUE_FACTOR: f64 = 1.5;

/// The tokens of an event if the service does not state them.
const DEFAULT_TOKENS_PER_EVENT: u32 = 8;

/// A weighted linear regression over recent samples.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Regression {
    fn add(&mut self, x: f64, y: f64) {
        self.count = self.count * SAMPLE_DECAY + 1.0;
        self.x = self.x * SAMPLE_DECAY + x;
        self.y = self.y * SAMPLE_DECAY + y;
        self.xx = self.xx * SAMPLE_DECAY + x * x;
        self.xy = self.xy * SAMPLE_DECAY + x * y;
    }

    /// How much y rises with each unit of x; it never falls.
    fn slope(&self) -> f64 {
        let variance = self.count * self.xx - self.x * self.x;
        if variance <= f64::EPSILON * self.count * self.xx {
            return 0.0;
        }
        ((self.count * self.xy - self.x * self.y) / variance).max(0.0)
    }

    /// The mean of y.
    fn mean(&self) -> f64 {
        self.y / self.count.max(f64::MIN_POSITIVE)
    }

    /// The value of y that is expected at `x`.
    fn at(&self, x: f64) -> f64 {
        let mean_x = self.x / self.count.max(f64::MIN_POSITIVE);
        self.mean() + self.slope() * (x - mean_x)
    }
}

/// What the engines of a service have in common.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Model {
    /// The time to the first event, in times between two events at that engine, by thousand tokens to read.
    begin: Regression,
    /// The time between two events, relative to that engine's pace, by the requests in flight.
    batch: Regression,
    /// The mean time between two events of all engines, in seconds.
    gap: Option<f64>,
    /// The prompt tokens that an engine reads at most between two events, as the gaps of streams that met a long prompt
    /// show it; `None` before the first.
    read_between: Option<f64>,
    /// The mean number of events of a stream.
    events: f64,
    streams: u32,
    engine: Engine,
}

impl Model {
    /// Sets what the table states about the engines.
    pub(super) fn set_engine(&mut self, engine: Engine) {
        self.engine = engine;
    }

    /// Whether enough was measured for estimates.
    pub(super) fn is_measured(&self) -> bool {
        self.streams >= MIN_STREAMS
    }

    /// The tokens that fit in one engine's memory.
    pub(super) fn kv_capacity(&self) -> Option<Tokens> {
        self.engine.kv_capacity
    }

    /// The events that a request is likely to generate.
    pub(super) fn events(&self, request: &Request) -> f64 {
        let tokens = self.engine.tokens_per_event;
        let tokens = tokens.unwrap_or(DEFAULT_TOKENS_PER_EVENT).max(1);
        (request.output.as_f64() / f64::from(tokens)).max(1.0)
    }

    /// How the time between two events depends on the requests in flight, relative to the mean.
    fn batch_factor(&self, in_flight: u32) -> f64 {
        let mean = self.batch.mean();
        if mean <= 0.0 {
            return 1.0;
        }
        (self.batch.at(f64::from(in_flight)) / mean).clamp(0.5, 2.0)
    }

    /// The time to the first event with `unread` tokens to read, in times between two events.
    fn begin_events(&self, unread: f64) -> f64 {
        self.begin.at(unread / 1_000.0).max(1.0)
    }

    /// How much a gap grows while `tokens` are read, in times between two events.
    fn reading_events(&self, tokens: f64) -> f64 {
        let tokens = tokens.min(self.read_between.unwrap_or(f64::INFINITY));
        self.begin.slope() * tokens / 1_000.0
    }

    /// Records a stream of `events` with a mean gap in seconds.
    fn record_stream(&mut self, gap: f64, events: f64) {
        let former = self.gap.map(|_| self.events);
        self.events = moved(former, events, 1.0 - SAMPLE_DECAY);
        self.gap = Some(moved(self.gap, gap, 1.0 - SAMPLE_DECAY));
        self.streams = self.streams.saturating_add(1);
    }

    /// Records the longest gap of a stream that met a long prompt, relative to its mean gap.
    fn record_stretch(&mut self, stretch: f64) {
        let slope = self.begin.slope();
        if slope <= 0.0 {
            return;
        }
        let sample = (stretch - 1.0).max(0.0) / slope * 1_000.0;
        let is_longer = self.read_between.is_some_and(|tokens| sample > tokens);
        let weight = if is_longer {
            LONGER_WEIGHT
        } else {
            SHORTER_WEIGHT
        };
        self.read_between = Some(moved(self.read_between, sample, weight));
    }
}

/// A request that was placed at an engine and has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placed {
    ticket: Ticket,
    /// The number of the hub's grant, once it is given.
    grant: Option<u64>,
    since: Instant,
    /// The prompt and output tokens that it keeps in the engine's memory.
    tokens: u64,
    max_gap: Option<Duration>,
    /// The tokens that had to be read until its first event.
    unread: f64,
    /// The requests in flight with it.
    in_flight: u32,
    /// Whether it found a free slot.
    had_slot: bool,
    /// The estimated time to its first event, in seconds.
    begin: f64,
    has_begun: bool,
    /// Whether a long prompt was placed here after its first event.
    met_long_prompt: bool,
}

/// What the responses of one engine show.
#[derive(Clone, Debug, Default)]
pub(super) struct EnginePace {
    /// The time between two events at the mean batch, in seconds.
    gap: Option<f64>,
    /// The time to the first event, relative to what its gaps let expect.
    lag: Option<f64>,
    /// The longest gap of a stream relative to its mean gap.
    stretch: Option<f64>,
    /// How long work takes relative to the usual, as the engine last stated.
    stated: Option<f64>,
    /// When its last response showed something.
    measured_at: Option<Instant>,
    /// The time between two events over a long time, in seconds.
    usual: Option<f64>,
    /// Whether it was reported as slow.
    is_slow: bool,
    placed: Vec<Placed>,
}

/// What a request can expect at an engine; times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// From now to the first event.
    pub(super) begin: f64,
    /// The mean time between two events.
    pub(super) gap: f64,
    /// The longest time between two events of its stream.
    pub(super) longest_gap: f64,
    /// The longest time between two events of the streams there while its prompt is read.
    pub(super) others_gap: f64,
    /// By how many events' time the longest gaps of all streams there grow, if the prompt is long and no other long one
    /// is being read.
    pub(super) harm: f64,
    /// From now to its end.
    pub(super) completion: f64,
}

/// Whether the prompt of a request is long.
pub(super) fn is_long(request: &Request) -> bool {
    request.prompt >= LONG_PROMPT
}

/// Moves `mean` to `sample` by `weight`.
fn moved(mean: Option<f64>, sample: f64, weight: f64) -> f64 {
    mean.map_or(sample, |mean| mean + (sample - mean) * weight)
}

impl EnginePace {
    /// Whether anything is known of this engine's pace.
    pub(super) fn is_measured(&self) -> bool {
        self.gap.is_some()
    }

    /// The time since a response showed something; `None` if none has.
    pub(super) fn unmeasured_for(&self, now: Instant) -> Option<Duration> {
        self.measured_at.map(|at| now.since(at))
    }

    /// The requests there, without those that count as lost.
    fn in_flight(&self, now: Instant) -> impl Iterator<Item = &Placed> {
        let placed = self.placed.iter();
        placed.filter(move |placed| now.since(placed.since) < MAX_AGE)
    }

    /// The requests there whose first event has not been reported.
    pub(super) fn not_begun(&self, now: Instant) -> usize {
        let placed = self.in_flight(now);
        placed.filter(|placed| !placed.has_begun).count()
    }

    /// The prompt and output tokens of the requests there.
    pub(super) fn tokens(&self, now: Instant) -> u64 {
        let placed = self.in_flight(now);
        placed.fold(0, |sum, placed| placed.tokens.saturating_add(sum))
    }

    /// The shortest gap objective of the streams there, in seconds.
    pub(super) fn shortest_max_gap(&self, now: Instant) -> f64 {
        let gaps = self.in_flight(now).filter_map(|placed| placed.max_gap);
        gaps.min().map_or(f64::INFINITY, |gap| gap.as_secs_f64())
    }

    /// The time between two events in seconds, as the engine states it at the moment.
    fn current_gap(&self, model: &Model) -> f64 {
        let gap = self.gap.or(model.gap).unwrap_or(0.0);
        gap * self.stated.unwrap_or(1.0)
    }

    /// The time of one event of those until the first one, in seconds.
    fn pace_to_begin(&self, model: &Model) -> f64 {
        self.current_gap(model) * self.lag.unwrap_or(1.0)
    }

    /// The time to the first event of `request` if the engine had nothing else to do, in seconds.
    pub(super) fn idle_begin(&self, model: &Model, request: &Request) -> f64 {
        let travel = GRANT_TRAVEL.as_secs_f64();
        self.pace_to_begin(model) * model.begin_events(request.prompt.as_f64()) + travel
    }

    /// How many times its estimate the first event of a request there takes that has not been reported.
    fn overdue(&self, now: Instant) -> f64 {
        let waiting = self.in_flight(now).filter(|placed| !placed.has_begun);
        let ratios = waiting.map(|placed| {
            let age = now.since(placed.since + GRANT_TRAVEL).as_secs_f64();
            age / placed.begin.max(f64::MIN_POSITIVE)
        });
        let longest = ratios.fold(0.0, f64::max);
        if longest > OVERDUE_FACTOR {
            longest
        } else {
            1.0
        }
    }

    /// What `request` can expect here, with `unread` prompt tokens and `in_flight` requests before it at `slots` slots.
    pub(super) fn estimate(
        &self,
        model: &Model,
        request: &Request,
        unread: Tokens,
        (in_flight, slots): (u32, u32),
        now: Instant,
    ) -> Estimate {
        let overdue = self.overdue(now);
        let gap = self.current_gap(model) * model.batch_factor(in_flight + 1) * overdue;
        let to_read = unread.as_f64() + request.prompt.as_f64();
        let gaps = model.events(request) - 1.0;
        let begin = self.pace_to_begin(model) * model.begin_events(to_read) * overdue;
        let waiting = if in_flight >= slots {
            // One of the running requests ends on average after this.
            (begin + gap * model.events) / f64::from(slots.max(1))
        } else {
            0.0
        };
        let begin = begin + waiting + GRANT_TRAVEL.as_secs_f64();
        let stretch = self.stretch.unwrap_or(1.0) - 1.0;
        let reading = model.reading_events(to_read);
        let disturbs = is_long(request) && unread < LONG_PROMPT;
        Estimate {
            begin,
            gap,
            longest_gap: gap * (1.0 + stretch * (gaps / (2.0 * MIN_GAPS)).min(1.0)),
            others_gap: gap * (1.0 + reading),
            harm: if disturbs {
                reading * f64::from(in_flight)
            } else {
                0.0
            },
            completion: begin + gap * gaps,
        }
    }

    /// Records that `request` is placed here.
    pub(super) fn place(
        &mut self,
        model: &Model,
        (ticket, request): (Ticket, &Request),
        unread: Tokens,
        load: (u32, u32),
        now: Instant,
    ) {
        self.placed
            .retain(|placed| now.since(placed.since) < MAX_AGE);
        for other in &mut self.placed {
            other.met_long_prompt |= is_long(request) && other.has_begun;
        }
        let estimate = self.estimate(model, request, unread, load, now);
        self.placed.push(Placed {
            ticket,
            grant: None,
            since: now,
            tokens: request.prompt.0.saturating_add(request.output.0),
            max_gap: request.max_gap,
            unread: unread.as_f64() + request.prompt.as_f64(),
            in_flight: load.0 + 1,
            had_slot: load.0 < load.1,
            begin: estimate.begin,
            has_begun: false,
            met_long_prompt: false,
        });
    }

    /// Records the number of the grant for a request that was placed here.
    pub(super) fn record_grant(&mut self, ticket: Ticket, number: u64) {
        let mut placed = self.placed.iter_mut();
        if let Some(placed) = placed.find(|placed| placed.ticket == ticket) {
            placed.grant = Some(number);
        }
    }

    /// Forgets all requests, because none is in flight.
    pub(super) fn clear(&mut self) {
        self.placed.clear();
    }

    /// Records the first event of the request with the grant `number`, `first_event` after it was sent.
    pub(super) fn record_begin(
        &mut self,
        model: &mut Model,
        number: u64,
        first_event: Duration,
        load: Option<&ReportedLoad>,
        now: Instant,
    ) {
        let mut all = self.placed.iter_mut();
        let Some(placed) = all.find(|placed| placed.grant == Some(number) && !placed.has_begun)
        else {
            return;
        };
        placed.has_begun = true;
        let placed = *placed;
        // Engines begin requests in order of arrival: an earlier one has begun too, or its gateway was lost.
        for earlier in &mut self.placed {
            earlier.has_begun |= earlier.grant < Some(number);
        }
        self.set_stated(load);
        let gap = self.current_gap(model);
        if gap > 0.0 && placed.had_slot {
            let events = first_event.as_secs_f64() / gap;
            let ratio = events / model.begin_events(placed.unread);
            if model.is_measured() {
                self.lag = Some(moved(self.lag, ratio, MEASUREMENT_WEIGHT));
            }
            model.begin.add(placed.unread / 1_000.0, events);
        }
        self.measured_at = Some(now);
    }

    /// Records the end of the request with the grant `number`, and how its stream went if it ended well.
    pub(super) fn record_end(
        &mut self,
        model: &mut Model,
        number: u64,
        times: Option<StreamTimes>,
        load: Option<&ReportedLoad>,
        now: Instant,
    ) {
        if let Some(times) = times {
            self.record_begin(model, number, times.first_event, load, now);
        }
        let position = self
            .placed
            .iter()
            .position(|placed| placed.grant == Some(number));
        let Some(position) = position else {
            return;
        };
        let placed = self.placed.remove(position);
        let Some((gap, times)) = times.and_then(|times| Some((times.gap?, times))) else {
            return;
        };
        let gap = gap.as_secs_f64();
        self.record_gap(model, gap, placed.in_flight, now);
        if f64::from(times.events) > MIN_GAPS {
            let stretch = times.longest_gap.as_secs_f64() / gap.max(f64::MIN_POSITIVE);
            self.stretch = Some(moved(self.stretch, stretch, MEASUREMENT_WEIGHT));
            if placed.met_long_prompt {
                model.record_stretch(stretch);
            }
        }
        model.record_stream(gap, f64::from(times.events));
    }

    /// If the engine has become much slower than usual, or has recovered since that was reported, how many times its
    /// usual time it takes now.
    pub(super) fn take_change(&mut self, model: &Model) -> Option<f64> {
        let pace = self.pace_to_begin(model);
        let usual = moved(self.usual, pace, USUAL_WEIGHT);
        self.usual = Some(usual);
        let relative = pace / usual.max(f64::MIN_POSITIVE);
        let is_slow = if self.is_slow {
            relative > RECOVERED_FACTOR
        } else {
            relative > SLOW_FACTOR
        };
        let is_changed = std::mem::replace(&mut self.is_slow, is_slow) != is_slow;
        is_changed.then_some(relative)
    }

    /// Records the mean gap of a stream, in seconds.
    fn record_gap(&mut self, model: &mut Model, gap: f64, in_flight: u32, now: Instant) {
        let stated = self.stated.unwrap_or(1.0);
        let sample = gap / stated / model.batch_factor(in_flight);
        let former = self.gap;
        let after = moved(former, sample, MEASUREMENT_WEIGHT);
        self.gap = Some(after);
        // A slow first event that a slower pace explains must not count twice.
        let rise = former.map_or(1.0, |former| after / former.max(f64::MIN_POSITIVE));
        if rise > 1.0 {
            self.lag = self.lag.map(|lag| (lag / rise).max(lag.min(1.0)));
        }
        model.batch.add(
            f64::from(in_flight),
            gap / stated / after.max(f64::MIN_POSITIVE),
        );
        self.measured_at = Some(now);
    }

    fn set_stated(&mut self, load: Option<&ReportedLoad>) {
        if let Some(relative_time) = load.and_then(|load| load.relative_time) {
            self.stated = Some(relative_time);
        }
    }
}
