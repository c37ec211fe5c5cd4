//! Replicas in one thread, with reliable disks and links.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Disk;
use curlewlift_core::id::Host;
use curlewlift_core::log::Message;
use curlewlift_core::log::Output;
use curlewlift_core::log::Replica;
use curlewlift_core::log::SavedState;
use curlewlift_core::log::SyncId;
use curlewlift_core::log::Timing;

/// A replica and its disk.
pub(crate) struct Node {
    pub replica: Replica,
    pub disk: SavedState,
    /// Whether no sync ends.
    pub is_stalled: bool,
    /// The newest sync that has not ended.
    pending_sync: Option<SyncId>,
}

impl Node {
    pub(crate) fn new(host: &str, disk: SavedState, seed: u64, now: Instant) -> Self {
        let host: Host = host.parse().expect("valid name");
        let replica = Replica::new(host, disk.clone(), Timing::default(), seed, now);
        Self {
            replica,
            disk,
            is_stalled: false,
            pending_sync: None,
        }
    }

    /// Writes all output, and syncs it unless the disk is stalled; returns the messages to send.
    pub(crate) fn drain_output(&mut self, now: Instant) -> Vec<Message> {
        let mut sends = Vec::new();
        loop {
            let output = self.replica.take_output();
            let has_ended = self.pending_sync.is_some() && !self.is_stalled;
            if output == Output::default() && !has_ended {
                return sends;
            }
            for write in output.writes {
                self.disk.apply(write);
            }
            sends.extend(output.sends);
            self.pending_sync = output.sync.or(self.pending_sync);
            if let Some(sync) = self.pending_sync.take_if(|_| !self.is_stalled) {
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

/// Three voters; the first one leads.
pub(crate) fn three_voters() -> (Vec<Node>, Instant) {
    let mut now = Instant::default();
    let founder: Host = "c0".parse().expect("valid name");
    let mut nodes = vec![Node::new(
        "c0",
        Replica::founding_state(&founder, Disk(1)),
        1,
        now,
    )];
    for index in 1..3_u64 {
        let host: Host = format!("c{index}").parse().expect("valid name");
        let disk = Disk(index + 1);
        nodes.push(Node::new(
            host.as_str(),
            Replica::blank_state(disk),
            index + 1,
            now,
        ));
        run_steps(&mut nodes, &mut now, 60);
        nodes[0].replica.admit(&host, disk, now).expect("admitted");
        run_steps(&mut nodes, &mut now, 20);
        nodes[0]
            .replica
            .promote(&host, now)
            .expect("a caught-up learner");
        run_steps(&mut nodes, &mut now, 20);
    }
    (nodes, now)
}
