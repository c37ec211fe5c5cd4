//! The decisions and the coordination of curlewlift, without sockets, clocks, files or tasks.
//!
//! Each part is a state machine: time and messages go in, messages and effects come out. Others
//! can embed a part by itself; the `curlewlift` crate runs them all as daemons.

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
pub mod platform;
pub mod pool;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rollout;
pub mod route;
pub mod state;
mod text;
pub mod unit;
pub mod view;
