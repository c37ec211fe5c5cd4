//! What weighs how much in the choice.

/// How a pool chooses.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Requests beyond a server's slots that may be in flight there: what has ended is heard late, by
    /// a round trip at the hub and by more at other gateways, and an engine that finds nothing
    /// waiting rests meanwhile.
    pub extra_in_flight: u32,
    /// What a request itself counts, in requests beside it: tokens of one are hardly slowed by
    /// others beside it, so a fast server is better than an empty slow one until it is full.
    pub request_cost: f64,
    /// What a thousand tokens of its prompt count, and of those that the server still reads, in
    /// requests beside it: reading a long prompt takes longest, and holds up all beside it.
    pub prompt_cost: f64,
    /// By how much more a server in another data hall must be free to be taken, in requests.
    pub remote_hall_cost: f64,
    /// By how much the failed part of a server's answers makes it less wanted.
    pub failure_penalty: f64,
    /// How many may wait; beyond it the last one in order is turned away.
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
            max_queued: 400,
        }
    }
}
