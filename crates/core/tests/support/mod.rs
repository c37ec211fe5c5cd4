//! What the tests share.

#![allow(dead_code)]

pub mod history;
