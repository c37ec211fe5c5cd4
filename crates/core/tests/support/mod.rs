//! Simulations and builders that the tests share.

#![allow(dead_code)]

pub(crate) mod backoff;
pub(crate) mod crashes;
pub(crate) mod gateways;
pub(crate) mod history;
pub(crate) mod in_flight;
pub(crate) mod incarnations;
pub(crate) mod limits;
pub(crate) mod members;
pub(crate) mod messages;
pub(crate) mod network;
pub(crate) mod rejoins;
pub(crate) mod replicas;
pub(crate) mod requests;
pub(crate) mod retries;
pub(crate) mod streams;
pub(crate) mod time;
