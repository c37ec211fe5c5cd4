//! The hub: what the gateways tell, summed up.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::quota::Desk;
use crate::quota::Tolerance;
use crate::route::Table;

use super::Gateway;
use super::Grant;
use super::Listing;
use super::Question;
use super::Reply;
use super::Report;
use super::Roll;
use super::Ticket;
use super::Want;
use super::dispatch::Dispatcher;
use super::version::version;

/// How long silence means what.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// After how long a gateway that is not heard is left out of the roll.
    ///
    /// Several of the waits that a question takes at most, so that one lost answer takes nobody
    /// out.
    pub silent: Duration,
    /// After how long it is forgotten, and its part of the allowances is the others' again.
    pub forget: Duration,
    /// How much more than an allowance may be let in.
    pub tolerance: Tolerance,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            silent: Duration::from_millis(1_200),
            forget: Duration::from_secs(10),
            tolerance: Tolerance::default(),
        }
    }
}

/// What is known of one gateway.
#[derive(Clone, Debug)]
struct Seen {
    incarnation: u64,
    gateway: Gateway,
    ready: bool,
    heard: Instant,
}

impl Seen {
    /// Whether it was heard less than `silent` before `now`.
    fn is_live(&self, silent: Duration, now: Instant) -> bool {
        now.since(self.heard) < silent
    }
}

/// What the gateways tell, summed up.
///
/// It begins empty with each leader. Memory is linear in the gateways and in what they have in
/// flight; a question costs time linear in the backend servers in use.
#[derive(Debug)]
pub struct Hub {
    tuning: Tuning,
    seen: BTreeMap<id::Host, Seen>,
    dispatcher: Dispatcher,
    desk: Desk,
    table: u64,
    listing: Arc<Listing>,
}

impl Hub {
    /// A hub that begins at `now` and knows nothing yet.
    #[must_use]
    pub fn new(tuning: Tuning, now: Instant) -> Self {
        Self {
            tuning,
            seen: BTreeMap::new(),
            dispatcher: Dispatcher::default(),
            desk: Desk::new(tuning.tolerance, now),
            table: 0,
            listing: Arc::default(),
        }
    }

    /// Its own number, drawn when it begins: it tells its grants from those of other hubs.
    #[must_use]
    pub fn drawn(mut self, number: u64) -> Self {
        self.dispatcher = Dispatcher::new(number);
        self
    }

    /// Takes up a newer table's allowances.
    pub fn adopt(&mut self, table: &Table, now: Instant) {
        if table.get_number() > self.table {
            self.table = table.get_number();
            let accounts = table.accounts();
            let accounts = accounts.map(|account| (&account.name, account.allowance));
            self.desk.adopt(accounts, now);
        }
    }

    /// Takes up a newer list of backend servers.
    pub fn list(&mut self, listing: Arc<Listing>) {
        self.dispatcher.adopt(&listing);
        self.listing = listing;
    }

    /// The list that it gives out.
    #[must_use]
    pub fn get_listing(&self) -> &Arc<Listing> {
        &self.listing
    }

    /// Takes note of what a gateway tells.
    pub fn hear(&mut self, question: &Question, now: Instant) {
        let new = self
            .seen
            .get(&question.host)
            .is_none_or(|seen| seen.incarnation != question.incarnation);
        if new {
            for level in &question.levels {
                self.desk.heard(level);
            }
        }
        let due = self.due(question.spent_within);
        for (customer, amount) in &question.spent {
            self.desk.spent_late(customer, *amount, due, now);
        }
        let seen = Seen {
            incarnation: question.incarnation,
            gateway: question.gateway.clone(),
            ready: question.ready,
            heard: now,
        };
        self.seen.insert(question.host.clone(), seen);
        self.dispatcher
            .report(&question.host, question.mark, &question.loads);
    }

    /// The answer to a question that was heard, with the document of a newer table.
    pub fn answer(
        &mut self,
        question: &Question,
        document: Option<(u64, String)>,
        now: Instant,
    ) -> Reply {
        self.forget(now);
        self.desk.fill(self.silent(now), now);
        let roll = self.roll(now);
        let listing = &self.listing;
        Reply {
            table: document,
            held: listing.version,
            listing: self.has_news(question).then(|| Listing::clone(listing)),
            count: self.count(),
            roll: (roll.version != question.roll).then_some(roll),
            loads: self.dispatcher.others(&question.host),
            levels: self.desk.levels(),
            ..Reply::default()
        }
    }

    /// The gateway that fetches the list for all: the one on `beside`, or the first that is heard.
    #[must_use]
    pub fn fetcher(&self, beside: &id::Host, now: Instant) -> Option<id::Host> {
        let live = |seen: &Seen| self.is_live(seen, now);
        if self.seen.get(beside).is_some_and(live) {
            return Some(beside.clone());
        }
        let mut seen = self.seen.iter();
        let first = seen.find(|(_, seen)| live(seen));
        first.map(|(host, _)| host.clone())
    }

    /// How many gateways it knows.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.seen.len()).unwrap_or(u32::MAX)
    }

    /// Whether there is something that the asker does not hold yet, worth an answer at once.
    #[must_use]
    pub fn has_news(&self, question: &Question) -> bool {
        self.listing.version != 0 && self.listing.version != question.listing
    }

    /// The part (0 to 1) of what a gateway let in within some time that is still to be drawn: the
    /// rest was set aside, from when it counted as silent.
    fn due(&self, within: Duration) -> f64 {
        let heard = self.tuning.silent.as_secs_f64();
        (heard / within.as_secs_f64().max(heard)).min(1.0)
    }

    /// The part of the gateways that is not heard and not forgotten, 0 to 1.
    fn silent(&self, now: Instant) -> f64 {
        let silent = self.seen.values();
        let silent = silent.filter(|seen| !self.is_live(seen, now)).count();
        let silent = u32::try_from(silent).unwrap_or(u32::MAX);
        f64::from(silent) / f64::from(self.count().max(1))
    }

    /// Whether a gateway was heard so lately that it is not silent.
    fn is_live(&self, seen: &Seen, now: Instant) -> bool {
        seen.is_live(self.tuning.silent, now)
    }

    fn forget(&mut self, now: Instant) {
        self.tick(now);
        let forget = self.tuning.forget;
        self.seen.retain(|_, seen| now.since(seen.heard) < forget);
    }

    fn roll(&self, now: Instant) -> Roll {
        let live = self.seen.values();
        let live = live.filter(|seen| seen.ready && self.is_live(seen, now));
        let gateways: Vec<_> = live.map(|seen| seen.gateway.clone()).collect();
        Roll {
            version: version(&gateways),
            gateways,
        }
    }
}

/// # Places at backend servers
impl Hub {
    /// Puts a request in line; tells who is turned away for want of room. None where the service
    /// has no servers here.
    pub fn want(&mut self, want: Want, now: Instant) -> Option<(Ticket, Option<Ticket>)> {
        self.dispatcher.want(want, now)
    }

    /// Takes a request out of line.
    pub fn leave(&mut self, ticket: &Ticket) {
        self.dispatcher.leave(ticket);
    }

    /// Takes note of what a gateway tells as soon as an answer begins or a sending has ended.
    pub fn report(&mut self, report: &Report, now: Instant) {
        self.dispatcher
            .report(&report.host, report.mark, &report.loads);
        self.dispatcher.ended(&report.ends, now);
    }

    /// Gives places to those in line for whom there is room.
    pub fn serve(&mut self, now: Instant) -> Vec<(Ticket, Grant)> {
        self.dispatcher.serve(now)
    }

    /// Takes those out of line who are not likely to get a place in time.
    pub fn give_up(&mut self, now: Instant) -> Vec<Ticket> {
        self.dispatcher.give_up(now)
    }

    /// Drops what silent gateways had in flight.
    pub fn tick(&mut self, now: Instant) {
        let silent = self.tuning.silent;
        let silent = self
            .seen
            .iter()
            .filter(|(_, seen)| !seen.is_live(silent, now));
        for (host, _) in silent {
            self.dispatcher.drop_host(host);
        }
    }
}
