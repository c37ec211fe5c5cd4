//! A pool: the backend servers of one service as a gateway or the hub sees them, and the queue of requests for them.

mod choose;
mod doomed;
mod first_byte_time;
mod forecast;
mod limit_wait;
mod notices;
mod queue;
mod request;
mod retry_budget;
mod server_health;
mod server_latency;
mod server_set;
mod server_state;
mod servers;
mod trial_version;
mod tuning;
mod wait_limit;

pub use first_byte_time::FirstByteTime;
pub use notices::Notice;
pub use notices::Notices;
pub use request::Assignment;
pub use request::AttemptOutcome;
pub use request::Request;
pub use request::Ticket;
pub use retry_budget::Balance;
pub use retry_budget::GATEWAYS_MIN_RETRIES_FRACTION;
pub use retry_budget::RetryAllowance;
pub use retry_budget::RetryBudget;
pub use server_health::ServerHealth;
pub use server_latency::ServerLatency;
pub use servers::Pool;
pub use trial_version::TrialVersion;
pub use tuning::Tuning;
pub use wait_limit::WaitLimit;
