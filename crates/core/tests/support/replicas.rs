//! Replicas in one thread, with perfect disks and links.

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
        let host: Host = host.parse().expect("a name");
        let replica = Replica::new(host, disk.clone(), Timing::default(), seed, now);
        Self { replica, disk }
    }

    /// Writes and syncs what there is to write; gives what there is to send.
    pub(crate) fn settle(&mut self, now: Instant) -> Vec<Message> {
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

/// Lets time pass and delivers everything, in order.
pub(crate) fn go_on(nodes: &mut [Node], now: &mut Instant, steps: u32) {
    for _ in 0..steps {
        *now = *now + Duration::from_millis(20);
        let mut bag = Vec::new();
        for node in nodes.iter_mut() {
            node.replica.tick(*now);
            bag.extend(node.settle(*now));
        }
        while !bag.is_empty() {
            let message = bag.remove(0);
            for node in nodes
                .iter_mut()
                .filter(|node| node.replica.get_host() == &message.to)
            {
                node.replica.receive(message.clone(), *now);
                bag.extend(node.settle(*now));
            }
        }
    }
}
