//! Gateways and a hub in one thread, on links that delay, lose and cut, with a log that remembers the parts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Gateway;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Reply;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::Shares;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::quota::Charge;
use curlewlift_core::quota::LocalLimiter;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::route::CustomerPolicy;
use curlewlift_core::route::Homes;
use curlewlift_core::route::Limits;
use curlewlift_core::route::Quota;
use curlewlift_core::route::Table;
use curlewlift_core::route::Unit;
use curlewlift_core::state::Publication;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use super::messages;

/// A step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// After how long an answer is not waited for any more.
const CALL: Duration = Duration::from_millis(600);

/// How old the hub's last word may be for it to be asked about a request.
const HEARD: Duration = Duration::from_millis(500);

/// How many deputies a gateway asks.
const ASKED: usize = 3;

/// How long a change of the parts takes to stand in the log.
const COMMIT: Duration = Duration::from_millis(30);

pub(crate) const ALLOWANCE: Quota = Quota {
    unit: Unit::Tokens(200),
    rate: 60_000.0,
    burst: 60_000.0,
};

pub(crate) const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(8),
    ratio: 0.1,
    slack: 72_000.0,
};

/// The part of the tolerance that the hub and the gateways give out between them; beyond it nothing is let
/// in, and so the deployment's own bound is never met.
const CLAIMED: f64 = 0.9;

pub(crate) fn ann() -> id::Customer {
    "ann".parse().expect("a name")
}

/// One gateway, and the answer that is on its way to it.
struct Node {
    host: id::Host,
    reserve: LocalLimiter,
    got: u64,
    heard: Option<Instant>,
    asked: Instant,
    answer: Option<(Instant, Reply)>,
    cut: bool,
    /// Until when it is suspended: it does nothing, and finds what has come meanwhile when it wakes.
    suspended: Instant,
}

impl Node {
    fn new(place: usize, now: Instant) -> Self {
        Self {
            host: format!("g{place}").parse().expect("a name"),
            reserve: LocalLimiter::new(TOLERANCE),
            got: 0,
            heard: None,
            asked: now,
            answer: None,
            cut: false,
            suspended: now,
        }
    }

    fn question(&self) -> Poll {
        Poll {
            gateway: Gateway {
                hall: "a".into(),
                callers: "127.0.0.1:80".parse().expect("an address"),
            },
            known_table: 1,
            server_list_version: 1,
            last_reply: self.got,
            ..messages::poll(&self.host)
        }
    }
}

/// Gateways, a hub, a log, and what was let in within the window.
pub(crate) struct World {
    nodes: Vec<Node>,
    hub: Option<Hub>,
    /// When the next hub begins, where there is none.
    next_hub: Option<Instant>,
    parts: Shares,
    commit: Option<(Instant, Shares)>,
    now: Instant,
    random: ChaCha8Rng,
    /// Of a hundred answers so many are lost.
    lost: u64,
    /// Of a hundred requests so many find no server, and wait for one until they leave.
    pub(crate) no_place: u64,
    /// Those, with the moment at which they leave, and what they count.
    waiting: Vec<(Instant, Ticket, u64)>,
    table: u64,
    let_in: VecDeque<(Instant, u64)>,
    pub(crate) most: u64,
    pub(crate) total: u64,
    /// What is still to be asked for.
    asked: f64,
    allowance: Quota,
}

impl World {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        Self::with(count, seed, ALLOWANCE)
    }

    pub(crate) fn with(count: usize, seed: u64, allowance: Quota) -> Self {
        let now = Instant::default();
        let mut world = Self {
            nodes: (0..count).map(|place| Node::new(place, now)).collect(),
            hub: None,
            next_hub: None,
            parts: Shares::default(),
            commit: None,
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            lost: 0,
            no_place: 0,
            waiting: Vec::new(),
            table: 1,
            let_in: VecDeque::new(),
            most: 0,
            total: 0,
            asked: 0.0,
            allowance,
        };
        world.begin_hub();
        if let Some(hub) = &mut world.hub {
            hub.mark_first_table(now);
        }
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    fn adopt(&mut self) {
        let account = CustomerPolicy {
            name: ann(),
            keys: Vec::new(),
            rank: None,
            quota: self.allowance,
            homes: Homes::default(),
        };
        let table = Table::new(curlewlift_core::route::Parts {
            version: self.table,
            rules: Vec::new(),
            services: [].into(),
            limits: Limits::default(),
            customers: Some(vec![account]),
        });
        if let Some(hub) = &mut self.hub {
            hub.apply_table(&table.expect("a table"), self.now);
        }
    }

    /// Another limit is in force everywhere.
    pub(crate) fn limit(&mut self, allowance: Quota) {
        self.allowance = allowance;
        self.table += 1;
        self.adopt();
    }

    fn begin_hub(&mut self) {
        let tuning = Tuning {
            tolerance: TOLERANCE,
            ..Tuning::default()
        };
        let number = self.random.next_u64();
        let mut hub = Hub::new(tuning, self.now).with_id(number);
        let server = Server {
            incarnation: "s".into(),
            name: "s".into(),
            started_ms: 0,
            version: "v1".parse().expect("a version"),
            service: "chat".parse().expect("a name"),
            address: "127.0.0.1:1".parse().expect("an address"),
            hall: "a".into(),
            slots: 1_000_000,
            leaving: false,
            cold: false,
        };
        hub.set_server_list(Arc::new(ServerList::new(vec![server])));
        hub.apply_standbys(&self.parts, self.now);
        self.hub = Some(hub);
        self.adopt();
    }

    /// The hub ends, and no other begins.
    pub(crate) fn end_hub(&mut self) {
        self.hub = None;
        self.waiting.clear();
        self.next_hub = None;
        // What is on its way into the log may get there or not.
        if self.draw(2) == 0 {
            self.commit = None;
        }
    }

    /// The hub ends, and another begins soon.
    pub(crate) fn new_hub(&mut self) {
        self.end_hub();
        let pause = Duration::from_millis(self.draw(1_200));
        self.next_hub = Some(self.now + pause);
    }

    pub(crate) fn cut(&mut self, place: usize, cut: bool) {
        self.nodes[place].cut = cut;
        self.nodes[place].answer = None;
    }

    /// A gateway is suspended for so long.
    pub(crate) fn suspend(&mut self, place: usize, length: Duration) {
        self.nodes[place].suspended = self.now + length;
    }

    /// Far beyond the allowance, about as much, or so little that buckets fill up.
    pub(crate) fn any_load(&mut self) -> f64 {
        match self.draw(4) {
            0 => 5_000.0,
            1 => 60_000.0,
            _ => 400_000.0,
        }
    }

    /// Something happens.
    pub(crate) fn disturb(&mut self) {
        let count = self.nodes.len() as u64;
        let place = usize::try_from(self.draw(count)).expect("few");
        match self.draw(8) {
            0 => self.new_hub(),
            1 => self.lost = self.draw(60),
            // Its process is started anew.
            2 => self.nodes[place] = Node::new(place, self.now),
            // All of them are.
            3 if self.draw(4) == 0 => {
                for place in 0..self.nodes.len() {
                    self.nodes[place] = Node::new(place, self.now);
                }
                self.new_hub();
            }
            // Another host comes in its place, for good.
            4 => {
                let name = 1_000 + usize::try_from(self.draw(1_000_000)).expect("few");
                self.nodes[place] = Node::new(name, self.now);
            }
            5 => {
                for place in 0..self.nodes.len() {
                    let cut = self.draw(3) == 0;
                    self.cut(place, cut);
                }
            }
            6 => (0..self.nodes.len()).for_each(|place| self.cut(place, false)),
            _ => self.cut(place, true),
        }
    }

    /// Time passes, with `load` tokens a second asked for in all.
    pub(crate) fn go_on(&mut self, time: Duration, load: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.lead();
            (0..self.nodes.len()).for_each(|place| self.sync(place));
            self.wait();
            self.ask(load);
        }
    }

    fn lead(&mut self) {
        let now = self.now;
        if self.next_hub.is_some_and(|at| at <= now) {
            self.next_hub = None;
            // A new leader has applied all that stands in the log.
            if let Some((_, parts)) = self.commit.take() {
                self.parts = parts;
            }
            self.begin_hub();
        }
        let Some(hub) = &mut self.hub else {
            return;
        };
        if let Some((due, _)) = &self.commit
            && *due <= now
            && let Some((_, parts)) = self.commit.take()
        {
            self.parts = parts;
            hub.apply_standbys(&self.parts, now);
        }
        hub.tick(now);
        if let Some(parts) = hub.propose_standbys(now) {
            self.commit = Some((now + COMMIT, parts));
        }
    }

    /// A gateway takes an answer that has come, gives up one that is late, asks anew.
    fn sync(&mut self, place: usize) {
        let (now, lost) = (self.now, self.lost);
        let (is_lost, delay) = (self.draw(100) < lost, self.draw(100));
        let slow = self.draw(40) == 0;
        let node = &mut self.nodes[place];
        if now < node.suspended {
            return;
        }
        if let Some((due, reply)) = node.answer.take() {
            if due <= now && !node.cut {
                node.got = reply.number;
                node.heard = Some(now);
                node.reserve
                    .set_share(reply.admission_share, node.asked, now);
            } else if now.since(node.asked) < CALL {
                node.answer = Some((due, reply));
            }
            return;
        }
        let (Some(hub), false) = (&mut self.hub, node.cut) else {
            return;
        };
        node.asked = now;
        let question = node.question();
        hub.on_poll(&question, now);
        let reply = hub.reply(&question, &Publication::default(), now);
        let delay = if slow { delay * 8 } else { delay };
        let due = if is_lost {
            now + CALL * 2
        } else {
            now + Duration::from_millis(40 + delay)
        };
        node.answer = Some((due, reply));
    }

    fn ask(&mut self, load: f64) {
        self.asked += load * STEP.as_secs_f64();
        while self.asked > 0.0 {
            let cost = 200 + self.draw(5_000);
            let place = usize::try_from(self.draw(self.nodes.len() as u64)).expect("few");
            #[allow(clippy::cast_precision_loss)]
            {
                self.asked -= cost as f64;
            }
            if self.lets_in(place, cost) {
                self.count(cost);
            }
        }
        while let Some((at, _)) = self.let_in.front()
            && self.now.since(*at) >= TOLERANCE.window
        {
            self.let_in.pop_front();
        }
        let sum = self.let_in.iter().map(|(_, cost)| cost).sum();
        self.most = self.most.max(sum);
    }

    fn count(&mut self, cost: u64) {
        self.let_in.push_back((self.now, cost));
        self.total += cost;
    }

    /// Those that wait get a place after all, or leave.
    fn wait(&mut self) {
        let now = self.now;
        let Some(hub) = &mut self.hub else {
            return;
        };
        let served: Vec<_> = hub
            .grant_slots(now)
            .into_iter()
            .map(|(ticket, _)| ticket)
            .collect();
        let mut spent = Vec::new();
        self.waiting.retain(|(leaves, ticket, cost)| {
            if served.contains(ticket) {
                spent.push(*cost);
                return false;
            }
            if *leaves <= now {
                hub.cancel(ticket, now);
            }
            *leaves > now
        });
        for cost in spent {
            self.count(cost);
        }
    }

    /// Whether a request is let in: by the hub where it is heard, else by the gateway alone.
    fn lets_in(&mut self, place: usize, cost: u64) -> bool {
        let now = self.now;
        let gets_none = self.draw(100) < self.no_place;
        let leaves = now + Duration::from_millis(self.draw(1_000));
        let node = &mut self.nodes[place];
        if now < node.suspended {
            return false;
        }
        let charge = Charge {
            customer: ann(),
            cost,
        };
        let heard = node.heard.is_some_and(|heard| now.since(heard) < HEARD);
        let (Some(hub), true) = (&mut self.hub, heard && !node.cut) else {
            return self.lets_in_alone(place, &charge);
        };
        let mut want = want(&node.host, charge);
        if gets_none {
            want.tried = vec!["s".into()];
            want.avoid = vec![("s".into(), Duration::from_secs(10))];
        }
        let SlotDecision::Queued(ticket, _) = hub.request_slot(want, now) else {
            return false;
        };
        if gets_none {
            self.waiting.push((leaves, ticket, cost));
            return false;
        }
        hub.grant_slots(now)
            .iter()
            .any(|(served, _)| *served == ticket)
    }

    /// Whether a request is let in without the hub: by the gateway, or by a deputy that it reaches.
    fn lets_in_alone(&mut self, place: usize, charge: &Charge) -> bool {
        let (now, allowance) = (self.now, self.allowance);
        if self.nodes[place].reserve.acquire(charge, &allowance, now) {
            return true;
        }
        let from = usize::try_from(self.draw(self.nodes.len() as u64)).expect("few");
        let (before, after) = self.nodes.split_at_mut(from);
        let deputies = after.iter_mut().chain(before);
        let awake = |node: &&mut Node| !node.cut && node.suspended <= now;
        let deputies = deputies.filter(|node| node.reserve.get_share(now) > 0.0);
        let deputies = deputies.filter(awake);
        let mut asked = deputies.take(ASKED);
        asked.any(|deputy| deputy.reserve.acquire(charge, &allowance, now))
    }

    /// Whether no window had more than the hub and the gateways claim to let in.
    pub(crate) fn is_kept(&self) -> bool {
        let window = self.allowance.rate * TOLERANCE.window.as_secs_f64() + self.allowance.burst;
        let bound = window + (window * TOLERANCE.ratio + TOLERANCE.slack) * CLAIMED;
        #[allow(clippy::cast_precision_loss)]
        let most = self.most as f64;
        most <= bound
    }
}

fn want(host: &id::Host, charge: Charge) -> SlotRequest {
    SlotRequest {
        time_left: Duration::from_secs(10),
        charge: Some(charge),
        ..messages::slot_request(host)
    }
}
