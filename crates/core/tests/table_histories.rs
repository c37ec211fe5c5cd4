//! Random histories of gateways and leaders that are lost, frozen, cut off or late, while tables are published: no gateway
//! denies by an older table than one that was acknowledged, and gateways in touch have each table in effect in time.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Reply;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::publication::Holder;
use curlewlift_core::publication::Standing;
use curlewlift_core::state::Publication;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::messages;
use support::network::Network;
use support::time::ms;

const HISTORIES: u64 = 2_000;
const STEP_MS: u64 = 10;
const END_MS: u64 = 8_000;
/// The longest time that a message takes.
const MAX_DELAY_MS: u64 = 80;
/// How long a leader takes to commit a table.
const MAX_COMMIT_MS: u64 = 60;
/// How long a gateway takes to receive a table from a host that has it.
const MAX_FETCH_MS: u64 = 400;
/// How long a gateway waits for the reply to a poll.
const POLL_TIMEOUT_MS: u64 = 600;
/// How long an acknowledgement waits at most for gateways that have heard of a table.
const MAX_IN_EFFECT_WAIT_MS: u64 = 1_000;
/// How long requests may be forwarded by a table after a newer one was announced.
const MAX_OUTDATED_MS: u64 = 1_000;
/// The time in which a table must be in effect at gateways in touch: half of what operators are promised.
const IN_EFFECT_BOUND_MS: u64 = 1_250;
/// A gateway is in touch if nothing happened to it, or to the leader, for so long.
const TOUCH_MS: u64 = 2_000;
/// Clocks run at rates that differ by up to one in a thousand.
const MAX_DRIFT_PERMILLE: f64 = 0.5;

enum Message {
    Poll(usize, Box<Poll>),
    Reply(usize, Box<Reply>, Instant),
}

struct Gateway {
    holder: Holder,
    /// When it heard of each table.
    heard: BTreeMap<u64, u64>,
    /// The number of its process.
    process: u64,
    /// The rate and the start of its clock.
    rate: f64,
    offset: u64,
    poll_sent_at: Option<u64>,
    /// The table that it is receiving, and when it has it.
    fetch: Option<(u64, u64)>,
    cut_off_until: u64,
    frozen_until: u64,
    /// When something last happened to it.
    disturbed_at: u64,
}

impl Gateway {
    fn now(&self, now: u64) -> Instant {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let micros = ((now * 1_000) as f64 * self.rate) as u64;
        Instant(self.offset + micros)
    }
}

/// A table that is being published by the leader.
struct Publishing {
    version: u64,
    commits_at: u64,
}

struct World {
    random: SmallRng,
    now: u64,
    gateways: Vec<Gateway>,
    hub: Option<Hub>,
    leader: u64,
    elected_at: u64,
    /// When the leader was last lost or elected.
    unstable_at: u64,
    /// Polls that the hub holds, and until when.
    held: Vec<(usize, u64, Box<Poll>, u64)>,
    committed: u64,
    /// When each version was committed.
    committed_at: BTreeMap<u64, u64>,
    publishing: Option<Publishing>,
    /// How long an acknowledgement waits for gateways that have heard of a table.
    max_in_effect_wait: u64,
    /// When each version was acknowledged.
    acknowledged: BTreeMap<u64, u64>,
    /// Each with its gateway's process and the leader when it was sent.
    messages: Network<(u64, u64, Message)>,
    counts: Counts,
}

#[derive(Default)]
struct Counts {
    acknowledged: u64,
    max_wait: u64,
    current: u64,
    unconfirmed: u64,
    outdated: u64,
}

fn host(gateway: usize) -> id::Host {
    format!("h{gateway}").parse().expect("a name")
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let gateways = (0..random.random_range(2..9)).map(|_| Gateway {
            holder: Holder::new(Duration::from_millis(MAX_OUTDATED_MS)),
            heard: BTreeMap::new(),
            process: 0,
            rate: 1.0 + random.random_range(-MAX_DRIFT_PERMILLE..MAX_DRIFT_PERMILLE) / 1_000.0,
            offset: random.random_range(0..1 << 40),
            poll_sent_at: None,
            fetch: None,
            cut_off_until: 0,
            frozen_until: 0,
            disturbed_at: 0,
        });
        Self {
            gateways: gateways.collect(),
            now: 0,
            hub: None,
            leader: 0,
            elected_at: 0,
            unstable_at: 0,
            held: Vec::new(),
            committed: 1,
            committed_at: BTreeMap::from([(1, 0)]),
            publishing: None,
            max_in_effect_wait: random.random_range(0..=1) * MAX_IN_EFFECT_WAIT_MS,
            acknowledged: BTreeMap::new(),
            messages: Network::new(),
            counts: Counts::default(),
            random,
        }
    }

    fn run(&mut self) {
        while self.now < END_MS {
            self.now += STEP_MS;
            self.lose();
            self.lead();
            self.deliver();
            self.publish();
            self.release_polls();
            for gateway in 0..self.gateways.len() {
                if self.now >= self.gateways[gateway].frozen_until {
                    self.fetch(gateway);
                    self.poll(gateway);
                    self.check(gateway);
                }
            }
        }
    }

    /// Now and then a gateway is restarted, frozen or cut off, or the leader is lost.
    fn lose(&mut self) {
        let index = self.random.random_range(0..self.gateways.len());
        let gateway = &mut self.gateways[index];
        if self.random.random_ratio(1, 250) {
            gateway.process += 1;
            gateway.holder = Holder::new(Duration::from_millis(MAX_OUTDATED_MS));
            gateway.heard.clear();
            gateway.poll_sent_at = None;
            gateway.fetch = None;
            gateway.disturbed_at = gateway.disturbed_at.max(self.now);
        }
        if self.random.random_ratio(1, 200) {
            gateway.frozen_until = self.now + self.random.random_range(50..3_000);
            gateway.disturbed_at = gateway.disturbed_at.max(gateway.frozen_until);
        }
        if self.random.random_ratio(1, 200) {
            gateway.cut_off_until = self.now + self.random.random_range(50..3_000);
            gateway.disturbed_at = gateway.disturbed_at.max(gateway.cut_off_until);
        }
        if self.hub.is_some() && self.random.random_ratio(1, 250) {
            self.hub = None;
            self.held.clear();
            self.unstable_at = self.now;
            self.elected_at = self.now + self.random.random_range(0..900);
            // What the lost leader had sent to the others may be committed by the next one.
            if let Some(publishing) = self.publishing.take()
                && self.random.random_bool(0.5)
            {
                self.commit(publishing.version);
            }
        }
    }

    fn commit(&mut self, version: u64) {
        if version > self.committed {
            self.committed = version;
            self.committed_at.insert(version, self.now);
        }
    }

    fn lead(&mut self) {
        if self.hub.is_none() && self.now >= self.elected_at {
            self.leader += 1;
            self.unstable_at = self.now;
            self.hub = Some(Hub::new(Tuning::default(), ms(self.now)).with_id(self.leader));
        }
    }

    /// The operator publishes tables one after the other; the leader commits and acknowledges them.
    fn publish(&mut self) {
        let Some(hub) = &self.hub else { return };
        let Some(publishing) = &self.publishing else {
            if self.random.random_ratio(1, 20) {
                self.publishing = Some(Publishing {
                    version: self.committed + 1,
                    commits_at: self.now + self.random.random_range(0..MAX_COMMIT_MS),
                });
            }
            return;
        };
        let (version, commits_at) = (publishing.version, publishing.commits_at);
        if self.now < commits_at {
            return;
        }
        let leases = hub.get_table_leases();
        let now = ms(self.now);
        let is_announced = leases.is_announced(version, now);
        let (_, missing) = leases.count_missing(version, now);
        let was_committed = self.committed >= version;
        self.commit(version);
        let waited = self.now - commits_at;
        if was_committed && is_announced && (missing == 0 || waited >= self.max_in_effect_wait) {
            self.acknowledged.insert(version, self.now);
            self.counts.acknowledged += 1;
            self.counts.max_wait = self.counts.max_wait.max(waited);
            self.publishing = None;
        }
    }

    fn send(&mut self, gateway: usize, message: Message) {
        let arrival = self.now + self.random.random_range(1..=MAX_DELAY_MS);
        let process = self.gateways[gateway].process;
        let message = (process, self.leader, message);
        self.messages.send(arrival, message);
    }

    fn deliver(&mut self) {
        while let Some((process, leader, message)) = self.messages.receive(self.now) {
            let (Message::Poll(gateway, _) | Message::Reply(gateway, _, _)) = &message;
            let gateway = *gateway;
            let state = &self.gateways[gateway];
            if self.now < state.cut_off_until {
                continue;
            }
            match message {
                Message::Poll(_, poll) => {
                    let hub = self.hub.as_mut();
                    if let Some(hub) = hub.filter(|_| leader == self.leader) {
                        hub.on_poll(&poll, ms(self.now));
                        let until = self.now + self.random.random_range(0..250);
                        self.held.push((gateway, process, poll, until));
                    }
                }
                Message::Reply(..) if self.now < state.frozen_until => {
                    let message = (process, leader, message);
                    self.messages.send(state.frozen_until, message);
                }
                Message::Reply(_, reply, sent_at) => {
                    if process == state.process {
                        self.receive(gateway, &reply, sent_at);
                    }
                }
            }
        }
    }

    fn receive(&mut self, gateway: usize, reply: &Reply, sent_at: Instant) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        let at = state.now(now);
        state.holder.announce(reply.newest_table, at);
        state.heard.entry(reply.newest_table).or_insert(now);
        state
            .holder
            .confirm(reply.newest_table, sent_at, reply.table_lease);
        state.poll_sent_at = None;
    }

    /// The hub replies to polls that have waited, or whose gateway has not heard of the newest table.
    fn release_polls(&mut self) {
        let publication = Publication {
            version: self.committed,
            ..Publication::default()
        };
        let held = std::mem::take(&mut self.held);
        for (gateway, process, poll, until) in held {
            let is_due = poll.needs_lease || poll.known_table < self.committed;
            if !is_due && self.now < until {
                self.held.push((gateway, process, poll, until));
                continue;
            }
            let Some(hub) = &mut self.hub else { return };
            let reply = hub.small_reply(&poll, &publication, ms(self.now));
            // The time at which the gateway sent the poll, by its own clock, comes back with the reply.
            let sent_at = Instant(poll.last_reply);
            if process == self.gateways[gateway].process {
                self.send(gateway, Message::Reply(gateway, Box::new(reply), sent_at));
            }
        }
    }

    fn poll(&mut self, gateway: usize) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        if state
            .poll_sent_at
            .is_some_and(|sent_at| now < sent_at + POLL_TIMEOUT_MS)
        {
            return;
        }
        state.poll_sent_at = Some(now);
        let at = state.now(now);
        let mut poll = messages::poll(&host(gateway));
        poll.known_table = state.holder.newest();
        poll.table_in_effect = state.holder.get_in_effect();
        poll.needs_lease = !state.holder.has_lease(at);
        poll.last_reply = at.0;
        self.send(gateway, Message::Poll(gateway, Box::new(poll)));
    }

    /// A gateway receives a table that it has heard of from any host that has it, unless it is cut off.
    fn fetch(&mut self, gateway: usize) {
        let now = self.now;
        let newest = self.committed;
        let state = &mut self.gateways[gateway];
        if let Some((version, at)) = state.fetch {
            if now >= at {
                state.holder.apply(version);
                state.fetch = None;
            }
        } else if now >= state.cut_off_until && state.holder.newest() > state.holder.get_in_effect()
        {
            let at = now + self.random.random_range(20..MAX_FETCH_MS);
            state.fetch = Some((newest, at));
        }
    }

    fn check(&mut self, gateway: usize) {
        let state = &self.gateways[gateway];
        let in_effect = state.holder.get_in_effect();
        let standing = state.holder.standing(state.now(self.now));
        let mut missing = self.acknowledged.range(in_effect + 1..);
        let first_missing = missing.next();
        let is_in_touch = self.now >= state.disturbed_at.max(self.unstable_at) + TOUCH_MS;
        let context = format!("gateway {gateway} at {} ms, table {in_effect}", self.now);
        match standing {
            Standing::Current => {
                assert_eq!(first_missing, None, "denies: {context}");
                self.counts.current += 1;
            }
            Standing::Unconfirmed => self.counts.unconfirmed += 1,
            Standing::Outdated => self.counts.outdated += 1,
        }
        let mut heard = state.heard.range(in_effect + 1..);
        // Clocks that run slowly make it a little later.
        let heard_long_ago = heard.any(|(_, at)| self.now > at + MAX_OUTDATED_MS + STEP_MS);
        assert!(
            !heard_long_ago || standing == Standing::Outdated,
            "forwards: {context}"
        );
        if let Some((version, at)) = first_missing
            && is_in_touch
        {
            assert!(
                self.now <= at + IN_EFFECT_BOUND_MS,
                "table {version} of {at} ms is not in effect: {context}"
            );
        }
    }
}

#[test]
fn losses_and_late_hosts() {
    let mut total = Counts::default();
    for seed in 0..HISTORIES {
        println!("seed {seed}");
        let mut world = World::new(seed);
        world.run();
        let counts = world.counts;
        total.acknowledged += counts.acknowledged;
        total.max_wait = total.max_wait.max(counts.max_wait);
        total.current += counts.current;
        total.unconfirmed += counts.unconfirmed;
        total.outdated += counts.outdated;
    }
    println!(
        "{} tables acknowledged, after {} ms at most; requests could be denied at {} moments, forwarded only at {}, and \
         neither at {}",
        total.acknowledged, total.max_wait, total.current, total.unconfirmed, total.outdated
    );
    assert!(total.acknowledged > HISTORIES);
    // The histories show nothing if gateways are hardly ever sure of their tables.
    assert!(2 * total.current > total.unconfirmed + total.outdated);
}
