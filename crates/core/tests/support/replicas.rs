//! Replicas in one thread, with reliable disks and links.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Host;
use curlewlift_core::log::Message;
use curlewlift_core::log::Output;
use curlewlift_core::log::Replica;
use curlewlift_core::log::SavedState;
use curlewlift_core::log::Timing;

/// A replica and its disk.
pub(crate) struct Node {
    pub replica: Replica,
    pub disk: SavedState,
}

impl Node {
    pub(crate) fn new(host: &str, disk: SavedState, seed: u64, now: Instant) -> Self {
        let host: Host = host.parse().expect("valid name");
        let replica = Replica::new(host, disk.clone(), Timing::default(), seed, now);
        Self { replica, disk }
    }

    /// Writes and syncs all output; returns the messages to send.
    pub(crate) fn drain_output(&mut self, now: Instant) -> Vec<Message> {
        let mut sends = Vec::new();
        loop {
            let output = self.replica.take_output();
            if output == Output::default() {
                return sends;
            }
            for write in output.writes {
                self.disk.apply(write);
            }
            sends.extend(output.sends);
            if let Some(sync) = output.sync {
                self.replica.on_synced(sync, now);
            }
        }
    }
}

/// Runs `steps` steps of 20 ms, and delivers all messages in order.
pub(crate) fn run_steps(nodes: &mut [Node], now: &mut Instant, steps: u32) {
    for _ in 0..steps {
        *now = *now + Duration::from_millis(20);
        let mut in_flight = Vec::new();
        for node in nodes.iter_mut() {
            node.replica.tick(*now);
            in_flight.extend(node.drain_output(*now));
        }
        while !in_flight.is_empty() {
            let message = in_flight.remove(0);
            for node in nodes
                .iter_mut()
                .filter(|node| node.replica.get_host() == &message.to)
            {
                node.replica.receive(message.clone(), *now);
                in_flight.extend(node.drain_output(*now));
            }
        }
    }
}
