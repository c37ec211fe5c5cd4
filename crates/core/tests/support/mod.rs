//! What the tests share.

#![allow(dead_code)]

pub(crate) mod history;
