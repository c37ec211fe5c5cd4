//! Fair shares of slot time: what each customer of a rank has been served, by start-time fair queueing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::route::Rank;
use crate::virtual_time::VirtualTime;

use super::Release;
use super::Request;
use super::ServerLatency;
use super::Ticket;
use super::forecast::Rate;

/// The expected slot time of a request while none of the rank has ended: between that of short work (some 75 ms with the
/// messages of grant and report) and that of a short stream.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(100);

/// The time after which an account without requests is closed, and a charge whose end was not reported becomes final.
/// The hub forgets a grant after the same time.
const MAX_ACCOUNT_IDLE_TIME: Duration = Duration::from_mins(1);

/// The number of accounts from which on those without queued requests are closed early: several ranks of each of a
/// thousand customers.
const MAX_ACCOUNTS: usize = 4_096;

/// The maximum number of charges that await their correction: as many as the hub remembers grants.
const MAX_PENDING_CHARGES: usize = 32_768;

/// Identifies the account of one customer in one rank. The default is that of all requests while customers have no
/// shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AccountId(u32);

impl AccountId {
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}

/// What one customer has been served in one rank.
#[derive(Clone, Debug)]
struct Account {
    rank: Rank,
    customer: Option<id::Customer>,
    /// The virtual time at which its next request starts, in microseconds of slot time.
    start: u64,
    /// How long its requests held their slots lately.
    slot_time: ServerLatency,
    arrivals: Rate,
    queued: usize,
    /// The slot time since it was last taken.
    usage: SlotUsage,
    last_used: Instant,
}

/// What the customers of a rank have in common.
#[derive(Clone, Debug, Default)]
struct RankState {
    virtual_time: VirtualTime,
    /// How long the requests of all its customers held their slots lately.
    slot_time: ServerLatency,
    accounts: u32,
}

/// The slot time that was charged to a customer for a request that has not ended.
#[derive(Clone, Debug)]
struct Charge {
    account: AccountId,
    /// In microseconds.
    cost: u64,
}

/// The slot time of a customer at a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// The expected slot time of the requests that were queued.
    pub requested: Duration,
    /// The slot time that its ended requests had held.
    pub received: Duration,
}

/// The accounts of all customers at a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    is_enabled: bool,
    /// The accounts by index; the first place is that of the default id.
    places: Vec<Option<Account>>,
    ids: HashMap<(Rank, Option<id::Customer>), AccountId>,
    ranks: BTreeMap<Rank, RankState>,
    /// The charges that are not corrected yet, by the time of the assignment.
    pending: BTreeMap<(Instant, Ticket), Charge>,
    last_swept: Instant,
}

/// # Accounts
impl Accounts {
    /// Accounts that have shares, or the one that all requests have in common.
    pub(super) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            places: vec![None],
            ..Self::default()
        }
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// The account of a request; opened if its customer has none in its rank.
    pub(super) fn open(&mut self, request: &Request, now: Instant) -> AccountId {
        if !self.is_enabled {
            return AccountId::default();
        }
        let key = (request.rank, request.customer.clone());
        if let Some(id) = self.ids.get(&key) {
            return *id;
        }
        self.close_idle(now);
        let free = self.places.iter().skip(1).position(Option::is_none);
        let index = free.map_or(self.places.len(), |free| free + 1);
        let id = AccountId(u32::try_from(index).unwrap_or_default());
        let account = Account {
            rank: request.rank,
            customer: request.customer.clone(),
            start: 0,
            slot_time: ServerLatency::default(),
            arrivals: Rate::default(),
            queued: 0,
            usage: SlotUsage::default(),
            last_used: now,
        };
        self.ranks.entry(request.rank).or_default().accounts += 1;
        if index == self.places.len() {
            self.places.push(None);
        }
        self.places[index] = Some(account);
        self.ids.insert(key, id);
        id
    }

    /// Closes accounts that have not been used for long. One that is opened again starts at the virtual time.
    fn close_idle(&mut self, now: Instant) {
        let is_full = self.ids.len() >= MAX_ACCOUNTS;
        if !is_full && now.since(self.last_swept) < MAX_ACCOUNT_IDLE_TIME {
            return;
        }
        self.last_swept = now;
        for place in &mut self.places {
            let closed = place.take_if(|account| {
                let is_recent = now.since(account.last_used) < MAX_ACCOUNT_IDLE_TIME;
                account.queued == 0 && (is_full || !is_recent)
            });
            if let Some(closed) = closed
                && let Some(state) = self.ranks.get_mut(&closed.rank)
            {
                state.accounts -= 1;
            }
        }
        let places = &self.places;
        self.ids.retain(|_, id| places[id.index()].is_some());
    }

    /// A number above the indices of all accounts.
    pub(super) fn id_limit(&self) -> usize {
        self.places.len()
    }

    fn get(&self, id: AccountId) -> Option<&Account> {
        self.places.get(id.index())?.as_ref()
    }

    /// An account and the state of its rank.
    fn get_mut(&mut self, id: AccountId) -> Option<(&mut Account, &mut RankState)> {
        let account = self.places.get_mut(id.index())?.as_mut()?;
        let state = self.ranks.get_mut(&account.rank)?;
        Some((account, state))
    }

    /// Counts a request that is queued. If it `resumes`, its customer had no other that could be served as early, so that
    /// it starts at the virtual time.
    pub(super) fn add_queued(&mut self, id: AccountId, resumes: bool, now: Instant) {
        let Some((account, state)) = self.get_mut(id) else {
            return;
        };
        account.queued += 1;
        account.last_used = now;
        if resumes {
            account.start = state.virtual_time.resume(account.start);
        }
    }

    /// Counts a request that leaves the queue.
    pub(super) fn remove_queued(&mut self, id: AccountId) {
        if let Some((account, _)) = self.get_mut(id) {
            account.queued -= 1;
        }
    }

    /// The number of queued requests of an account.
    pub(super) fn queued(&self, id: AccountId) -> usize {
        self.get(id).map_or(0, |account| account.queued)
    }

    /// The virtual time at which the next request of an account starts.
    pub(super) fn start(&self, id: AccountId) -> u64 {
        self.get(id).map_or(0, |account| account.start)
    }

    /// The slot time, in microseconds, that a request of an account is expected to hold.
    pub(super) fn cost(&self, id: AccountId) -> u64 {
        let account = self.get(id);
        account.map_or(0, |account| micros(self.expected(account)))
    }

    fn expected(&self, account: &Account) -> Duration {
        let own = account.slot_time.mean();
        own.map_or_else(|| self.mean_of(account.rank), Duration::from_secs_f64)
    }
}

/// # Charges
impl Accounts {
    /// Charges the expected slot time of a request that is assigned to a server.
    pub(super) fn charge(&mut self, id: AccountId, ticket: Ticket, now: Instant) {
        let cost = self.cost(id);
        let Some((account, state)) = self.get_mut(id) else {
            return;
        };
        account.last_used = now;
        account.start = state.virtual_time.serve(account.start, cost);
        let charge = Charge { account: id, cost };
        self.pending.insert((now, ticket), charge);
        while let Some(oldest) = self.pending.first_entry()
            && now.since(oldest.key().0) >= MAX_ACCOUNT_IDLE_TIME
        {
            oldest.remove();
        }
        if self.pending.len() > MAX_PENDING_CHARGES {
            self.pending.pop_first();
        }
    }

    /// Corrects the charge of a request that has ended to the slot time that it held.
    pub(super) fn correct(&mut self, release: &Release, now: Instant) {
        let Some(charge) = self.take_charge(release, now) else {
            return;
        };
        let Some((account, state)) = self.get_mut(charge.account) else {
            return;
        };
        let held = micros(release.held);
        account.start = account.start.saturating_add(held);
        account.start = account.start.saturating_sub(charge.cost);
        account.slot_time.add(release.held);
        state.slot_time.add(release.held);
        account.usage.received += release.held;
    }

    /// The charge of a request that has ended: one of its customer at the time at which its slot was granted.
    fn take_charge(&mut self, release: &Release, now: Instant) -> Option<Charge> {
        let granted_at = now - release.held;
        let mut granted = self
            .pending
            .range((granted_at, Ticket(0))..=(granted_at, Ticket(u64::MAX)));
        let (key, _) = granted.find(|(_, charge)| {
            let account = self.get(charge.account);
            account.is_some_and(|account| account.customer == release.customer)
        })?;
        let key = *key;
        self.pending.remove(&key)
    }
}

/// # Arrivals
impl Accounts {
    /// Counts a request that arrives.
    pub(super) fn record_arrival(&mut self, id: AccountId, now: Instant) {
        let expected = Duration::from_micros(self.cost(id));
        if let Some((account, _)) = self.get_mut(id) {
            account.usage.requested += expected;
            account.arrivals.add(now);
        }
    }

    /// How many requests of an account arrive per second.
    pub(super) fn arrivals(&self, id: AccountId, now: Instant) -> f64 {
        let account = self.get(id);
        account.map_or(0.0, |account| account.arrivals.per_second(now))
    }

    /// The number of customers that have an account in a rank.
    pub(super) fn customers(&self, rank: Rank) -> u32 {
        self.ranks.get(&rank).map_or(0, |state| state.accounts)
    }

    /// The slot time, in microseconds, that a request of a rank is expected to hold.
    pub(super) fn mean_cost(&self, rank: Rank) -> u64 {
        micros(self.mean_of(rank))
    }

    fn mean_of(&self, rank: Rank) -> Duration {
        let state = self.ranks.get(&rank);
        let mean = state.and_then(|state| state.slot_time.mean());
        mean.map_or(INITIAL_SLOT_TIME, Duration::from_secs_f64)
    }

    /// The slot time of each customer since the last call.
    pub(super) fn take_usage(&mut self) -> BTreeMap<Option<id::Customer>, SlotUsage> {
        let mut usage: BTreeMap<_, SlotUsage> = BTreeMap::new();
        for account in self.places.iter_mut().flatten() {
            let taken = std::mem::take(&mut account.usage);
            if taken != SlotUsage::default() {
                let total = usage.entry(account.customer.clone()).or_default();
                total.requested += taken.requested;
                total.received += taken.received;
            }
        }
        usage
    }
}

/// At least one microsecond: what costs nothing would be served without end.
fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1)
}
