//! Simulates retries over the gateways of a [`World`], and checks them against the budget of the deployment.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::GatewayShare;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::pool::RetryBudget;

use super::gateways::HUB_REPLY_MAX_AGE;
use super::gateways::STEP;
use super::gateways::World;
use super::messages;

/// The budget of the deployment.
pub(crate) const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    min_retries: 62.0,
    window: Duration::from_secs(10),
};

/// The longest time from a decision to retry until the retry is sent: that of establishing a connection, in steps.
const MAX_CONNECT_STEPS: u64 = 70;

/// Percentage of grants that are lost on their way.
const GRANT_LOSS_PERCENT: u64 = 3;

/// Percentage of slot requests that find no server, and leave the hub's queue later.
const UNSERVED_PERCENT: u64 = 10;

/// Attempts that a request may have.
const ATTEMPTS_PER_REQUEST: u8 = 3;

/// A retry on its way: granted by the hub, or to be charged here when it is sent.
struct Retry {
    send_at: Instant,
    attempt: u8,
    decided_at: Instant,
    /// The hub's grant.
    grant: Option<Grant>,
}

/// The retry budget of a gateway, and the requests that it has not decided on.
pub(crate) struct GatewayRetries {
    budget: RetryBudget,
    /// Requests that have arrived, by when they were sent.
    unread: Vec<Instant>,
    /// Requests in the hub's queue that no server takes, and when they leave it.
    queued: Vec<(Instant, Ticket)>,
    connecting: Vec<Retry>,
}

impl GatewayRetries {
    pub(super) fn new(_now: Instant) -> Self {
        Self {
            budget: RetryBudget::new(ALLOWANCE),
            unread: Vec::new(),
            queued: Vec::new(),
            connecting: Vec::new(),
        }
    }

    pub(super) fn set_share(
        &mut self,
        announced: &GatewayShare,
        polled_at: Instant,
        now: Instant,
    ) -> f64 {
        self.budget.set_share(announced, polled_at, now)
    }

    fn read_request(&mut self, sent_at: Instant) {
        self.budget.count_request(sent_at);
    }

    fn allows(&mut self, now: Instant) -> bool {
        self.budget.allows(now)
    }

    /// Charges a retry that is sent now; false if it must not be sent.
    fn charge(&mut self, retry: &Retry, now: Instant) -> bool {
        let grant = retry.grant.as_ref();
        let granted = grant.and_then(|grant| grant.retries_left_at(retry.decided_at, now));
        granted.is_some() || self.budget.try_acquire(now)
    }
}

/// What is sent by clients and what fails.
pub(crate) struct Load {
    /// Requests per second at each gateway.
    pub(crate) rates: Vec<f64>,
    /// Percentage of attempts that fail.
    pub(crate) failing_percent: u64,
}

/// Requests and retries of a simulation, by step.
#[derive(Default)]
pub(crate) struct Record {
    requests: Vec<u32>,
    retries: Vec<u32>,
    due: Vec<f64>,
}

/// A window in which more was retried than allowed.
#[derive(Debug)]
pub(crate) struct Excess {
    /// Start of the window, in seconds.
    pub(crate) start: f64,
    /// Retries within it.
    pub(crate) retries: u32,
    /// How many are allowed.
    pub(crate) allowed: f64,
}

impl Record {
    /// Returns the retries of all gateways from `from` on.
    pub(crate) fn retries_since(&self, from: Duration) -> u32 {
        self.retries.iter().skip(steps(from)).sum()
    }

    /// Returns the requests sent from `from` on.
    pub(crate) fn requests_since(&self, from: Duration) -> u32 {
        self.requests.iter().skip(steps(from)).sum()
    }

    /// Returns the window that most exceeds what the deployment allows, if any does: by the requests that clients
    /// sent in the window, in the one before it, or in the one half a window before it, whichever holds the most.
    pub(crate) fn excess(&self) -> Option<Excess> {
        let window = steps(ALLOWANCE.window);
        let requests = prefix_sums(&self.requests, window);
        let retries = prefix_sums(&self.retries, window);
        let sum =
            |sums: &[u32], from: usize| sums[(from + window).min(sums.len() - 1)] - sums[from];
        // The prefix sums begin a window early, so that there is one before each that holds a retry.
        let excesses = (window..requests.len()).filter_map(|start| {
            let most = [start, start - window / 2, start - window]
                .into_iter()
                .map(|from| sum(&requests, from))
                .max()?;
            let allowed = ALLOWANCE.min_retries + ALLOWANCE.ratio * f64::from(most);
            let retries = sum(&retries, start);
            #[allow(clippy::cast_precision_loss)]
            let start = (start as f64 - window as f64) * STEP.as_secs_f64();
            (f64::from(retries) > allowed).then_some(Excess {
                start,
                retries,
                allowed,
            })
        });
        excesses.max_by(|one, other| {
            let beyond = |excess: &Excess| f64::from(excess.retries) - excess.allowed;
            beyond(one).total_cmp(&beyond(other))
        })
    }
}

/// Number of whole steps in `time`.
fn steps(time: Duration) -> usize {
    usize::try_from(time.as_micros() / STEP.as_micros()).expect("fits in usize")
}

/// Sums of all counts before each step, after `empty` steps without any.
fn prefix_sums(counts: &[u32], empty: usize) -> Vec<u32> {
    let mut sums = vec![0; empty + 1];
    let mut total = 0;
    for count in counts {
        total += count;
        sums.push(total);
    }
    sums
}

/// # Retries
impl World {
    /// Runs the simulation for `time`.
    pub(crate) fn retry_for(&mut self, time: Duration, load: &Load, record: &mut Record) {
        let until = self.now + time;
        while self.now < until {
            self.advance();
            record.requests.push(0);
            record.retries.push(0);
            for index in 0..self.gateways.len() {
                self.send_to_gateway(index, load, record);
                if self.gateways[index].suspended_until <= self.now {
                    self.leave_queue(index);
                    self.read_requests(index, load);
                    self.send_retries(index, load, record);
                }
            }
        }
    }

    /// Returns a load that is even, at a few gateways only, or absent.
    pub(crate) fn random_retry_load(&mut self) -> Load {
        let count = self.gateways.len();
        let total = [0.0, 20.0, 150.0, 400.0][self.random_index(4)];
        let busy = [count, count, 1, 1 + count / 4][self.random_index(4)];
        let first = self.random_index(count);
        #[allow(clippy::cast_precision_loss)]
        let rate = total / busy as f64;
        let is_busy = |index: usize| (index + count - first) % count < busy;
        let rates = (0..count).map(|index| if is_busy(index) { rate } else { 0.0 });
        let rates = rates.collect();
        let failing_percent = [0, 30, 100, 100][self.random_index(4)];
        Load {
            rates,
            failing_percent,
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        usize::try_from(self.random_below(count as u64)).expect("fits in usize")
    }

    fn is_failing(&mut self, load: &Load) -> bool {
        self.random_below(100) < load.failing_percent
    }

    /// Sends the clients' requests to a gateway. One that is suspended reads them later.
    fn send_to_gateway(&mut self, index: usize, load: &Load, record: &mut Record) {
        let now = self.now;
        record.due.resize(self.gateways.len(), 0.0);
        record.due[index] += load.rates[index] * STEP.as_secs_f64();
        while record.due[index] >= 1.0 {
            record.due[index] -= 1.0;
            if let Some(sent) = record.requests.last_mut() {
                *sent += 1;
            }
            self.gateways[index].retries.unread.push(now);
        }
    }

    /// Reads what has arrived, and sends each request once.
    fn read_requests(&mut self, index: usize, load: &Load) {
        let unread = std::mem::take(&mut self.gateways[index].retries.unread);
        for sent_at in unread {
            self.gateways[index].retries.read_request(sent_at);
            if self.is_failing(load) {
                self.prepare_retry(index, 2);
            }
        }
    }

    /// Decides on a retry: by the gateway's own account, or by the hub's.
    fn prepare_retry(&mut self, index: usize, attempt: u8) {
        let now = self.now;
        let delay = u32::try_from(self.random_below(MAX_CONNECT_STEPS)).expect("a small number");
        let mut retry = Retry {
            send_at: now + STEP * delay,
            attempt,
            decided_at: now,
            grant: None,
        };
        if !self.gateways[index].retries.allows(now) {
            retry.grant = self.request_grant(index);
            if retry.grant.is_none() {
                return;
            }
        }
        self.gateways[index].retries.connecting.push(retry);
    }

    /// Asks the hub for a slot with a retry.
    fn request_grant(&mut self, index: usize) -> Option<Grant> {
        let now = self.now;
        let is_lost = self.random_below(100) < GRANT_LOSS_PERCENT;
        let is_unserved = self.random_below(100) < UNSERVED_PERCENT;
        let leaves_at = now + Duration::from_millis(self.random_below(1_000));
        let gateway = &mut self.gateways[index];
        let is_reply_recent = gateway
            .reply_received
            .is_some_and(|received| now.since(received) < HUB_REPLY_MAX_AGE);
        if gateway.cut || !is_reply_recent {
            return None;
        }
        let hub = self.hub.as_mut()?;
        let mut slot_request = messages::slot_request(&gateway.host);
        slot_request.needs_retry = true;
        if is_unserved {
            slot_request.tried = vec!["s".into()];
            slot_request.avoid = vec![("s".into(), Duration::from_secs(10))];
        }
        let SlotDecision::Queued(ticket, _) = hub.request_slot(slot_request, now) else {
            return None;
        };
        if is_unserved {
            gateway.retries.queued.push((leaves_at, ticket));
            return None;
        }
        let mut grants = hub.grant_slots(now).into_iter();
        let grant = grants.find(|(granted, _)| *granted == ticket);
        grant.filter(|_| !is_lost).map(|(_, grant)| grant)
    }

    /// Sends the retries whose connections are established.
    fn send_retries(&mut self, index: usize, load: &Load, record: &mut Record) {
        let now = self.now;
        let connecting = &mut self.gateways[index].retries.connecting;
        let due: Vec<_> = connecting
            .extract_if(.., |retry| retry.send_at <= now)
            .collect();
        for retry in due {
            if !self.gateways[index].retries.charge(&retry, now) {
                continue;
            }
            if let Some(retries) = record.retries.last_mut() {
                *retries += 1;
            }
            if retry.attempt < ATTEMPTS_PER_REQUEST && self.is_failing(load) {
                self.prepare_retry(index, retry.attempt + 1);
            }
        }
    }

    /// Cancels the slot requests that no server takes and that have waited long enough.
    fn leave_queue(&mut self, index: usize) {
        let now = self.now;
        let queued = &mut self.gateways[index].retries.queued;
        let leaving = queued.extract_if(.., |(leaves_at, _)| *leaves_at <= now);
        for (_, ticket) in leaving {
            if let Some(hub) = &mut self.hub {
                hub.cancel(&ticket, now);
            }
        }
    }
}
