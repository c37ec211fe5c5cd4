//! The scheduling and coordination logic of curlewlift, without sockets, clocks, files or tasks.
//!
//! Each module is a state machine: it takes the time and messages as input and returns messages and
//! effects. Other programs can embed a single module; the `curlewlift` crate runs all of them as
//! daemons.

pub mod claim;
pub mod clock;
pub mod code;
pub mod config;
pub mod evacuation;
pub mod event;
pub mod fleet;
pub mod gateway;
pub mod id;
pub mod lang;
pub mod limit;
pub mod log;
pub mod order;
pub mod platform;
pub mod pool;
pub mod publication;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rejection;
pub mod response;
pub mod rollout;
pub mod route;
pub mod sse;
pub mod state;
pub mod stop;
pub mod stream;
mod text;
pub mod unit;
pub mod view;
mod virtual_time;
