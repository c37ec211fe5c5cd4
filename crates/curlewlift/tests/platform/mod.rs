//! Stand-ins for the platform: its server list, engines with scripted behavior, and hosts.

#![allow(dead_code, unused_imports)]

mod client;
mod document;
mod engine;
mod flow;
mod host_logs;
mod hosts;
mod program;
mod silent;
mod slow_link;
mod soak;
mod stream_end;
mod three_hosts;

pub(crate) use client::Answer;
pub(crate) use client::KeptConnection;
pub(crate) use client::request_play;
pub(crate) use client::send_head;
pub(crate) use client::send_request;
pub(crate) use client::send_until;
pub(crate) use document::add_route;
pub(crate) use document::document;
pub(crate) use document::large_document;
pub(crate) use engine::Engine;
pub(crate) use engine::ReceivedRequest;
pub(crate) use flow::Flow;
pub(crate) use hosts::EndlessList;
pub(crate) use hosts::Hosts;
pub(crate) use hosts::entry;
pub(crate) use hosts::folder;
pub(crate) use hosts::folder_in;
pub(crate) use hosts::wait;
pub(crate) use program::Program;
pub(crate) use silent::BODIES;
pub(crate) use silent::EVENTS;
pub(crate) use silent::STRADDLING_EVENTS;
pub(crate) use silent::Silent;
pub(crate) use silent::send_straddling;
pub(crate) use slow_link::SlowLink;
pub(crate) use soak::End;
pub(crate) use soak::Losses;
pub(crate) use soak::setting;
pub(crate) use stream_end::LINGER_TIME;
pub(crate) use stream_end::StreamEnd;
pub(crate) use three_hosts::ThreeHosts;

/// The memory of this process, with all hosts and servers in it, in bytes.
pub(crate) fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<usize>().ok());
    kilobytes.expect("the resident memory") << 10
}
