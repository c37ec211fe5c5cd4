//! The numbers behind the choice of a server, so that each can be measured by itself.

/// The numbers behind the choice of a server.
///
/// The defaults are what docs/design/scheduling.md measured; the ablations there change one each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Seconds of prompts that may wait inside a server.
    pub max_backlog_seconds: f64,
    /// Whether servers are preferred that may have a prompt cached.
    pub track_cached_prefixes: bool,
    /// Whether the speed of a server is learnt from its answers.
    pub learn_speed: bool,
    /// What is added to an expected time before it is held against a limit, as a part of it.
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
