//! Parameters of the choice of a server.

/// Parameters of the choice of a server. Each can be changed by itself to measure its effect.
///
/// docs/design/scheduling.md has the measurements behind the defaults; its ablations change one
/// parameter each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// A server with a longer backlog of prompts than this, in seconds, gets no further request.
    pub max_backlog_seconds: f64,
    /// Whether to track which prefixes each server has cached, and to take that into account.
    pub track_cached_prefixes: bool,
    /// Whether to adjust the speed of a server by its responses.
    pub learn_speed: bool,
    /// Fraction by which an expected time is increased before it is compared with a limit.
    pub safety_margin: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            max_backlog_seconds: 0.2,
            track_cached_prefixes: true,
            learn_speed: true,
            safety_margin: 0.1,
        }
    }
}
