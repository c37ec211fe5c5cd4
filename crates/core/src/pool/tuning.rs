//! The weights and limits of a pool.

use super::Scheduling;

/// How a pool chooses servers and limits its queue.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// How many requests beyond a server's slots may be in flight there. The hub learns a round trip late that a
    /// request has ended, other gateways later still, and an engine without a waiting request idles meanwhile.
    pub extra_in_flight: u32,
    /// The cost of the request itself, in units of one request in flight. Other requests hardly slow the tokens of one
    /// request, so a fast server is better than an empty slow one until it is full.
    pub request_cost: f64,
    /// The cost of a thousand prompt tokens, of this request or still to be read by the server, in units of one request
    /// in flight. Reading a long prompt takes longest and delays all other requests there.
    pub prompt_cost: f64,
    /// The cost of a server in another data hall, in units of one request in flight.
    pub remote_hall_cost: f64,
    /// How strongly a server's failure rate raises its cost.
    pub failure_penalty: f64,
    /// The parts of scheduling under hard load that are in use.
    pub scheduling: Scheduling,
    /// How many requests may be queued; beyond this the last one in order is rejected.
    pub max_queued: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            extra_in_flight: 1,
            request_cost: 4.0,
            prompt_cost: 1.0,
            remote_hall_cost: 0.2,
            failure_penalty: 4.0,
            scheduling: Scheduling::default(),
            max_queued: 400,
        }
    }
}
