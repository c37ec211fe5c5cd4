//! One tier's waiting requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id;
use crate::unit::Tokens;

use super::line::Line;
use super::line::Place;
use super::line::Waiting;

/// Virtual time for one token of a customer with weight 1.
const SCALE: u64 = 1_000;

/// One tier: the customers in the order of what they have had.
///
/// Start-time fair queueing: a customer that comes back begins where the tier is, so it can save
/// up nothing. While two customers both wait, what they had over their weights differs by at most
/// the cost of one request of each.
#[derive(Clone, Debug, Default)]
pub(super) struct Level {
    lines: BTreeMap<id::Customer, Line>,
    order: BTreeSet<(u64, id::Customer)>,
    virtual_time: u64,
    pub(super) work: Tokens,
}

impl Level {
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Requests of `customer` that wait.
    pub(super) fn count(&self, customer: &id::Customer) -> usize {
        self.lines.get(customer).map_or(0, |line| line.asks.len())
    }

    pub(super) fn push(&mut self, place: Place, waiting: Waiting) {
        let customer = waiting.ask.customer.clone();
        let line = self.lines.entry(customer.clone()).or_default();
        if line.asks.is_empty() {
            line.virtual_time = line.virtual_time.max(self.virtual_time);
            self.order.insert((line.virtual_time, customer));
        }
        line.work += waiting.cost();
        self.work += waiting.cost();
        line.asks.insert(place, waiting);
    }

    /// Whose turn it is.
    pub(super) fn first(&self) -> Option<(Place, &Waiting)> {
        let (_, customer) = self.order.first()?;
        let line = self.lines.get(customer)?;
        line.asks
            .first_key_value()
            .map(|(place, waiting)| (*place, waiting))
    }

    /// Takes out the request whose turn it is, and counts its cost.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let (virtual_time, customer) = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(virtual_time);
        let line = self.lines.get_mut(&customer)?;
        let (_, waiting) = line.asks.pop_first()?;
        let weight = u64::from(waiting.ask.weight.max(1));
        line.virtual_time += waiting.cost().0 * SCALE / weight;
        line.work = line.work.less(waiting.cost());
        self.work = self.work.less(waiting.cost());
        if !line.asks.is_empty() {
            self.order.insert((line.virtual_time, customer));
        }
        Some(waiting)
    }

    /// Takes out the request at `place` of `customer`, without cost.
    pub(super) fn remove(&mut self, customer: &id::Customer, place: Place) -> Option<Waiting> {
        let line = self.lines.get_mut(customer)?;
        let waiting = line.asks.remove(&place)?;
        line.work = line.work.less(waiting.cost());
        self.work = self.work.less(waiting.cost());
        if line.asks.is_empty() {
            self.order.remove(&(line.virtual_time, customer.clone()));
        }
        Some(waiting)
    }

    /// Takes out what is shed first: the last deadline of the customer with the most work over its
    /// weight. Linear in the tier's customers; only called when the queue is full.
    pub(super) fn shed(&mut self) -> Option<Waiting> {
        let lines = self.lines.iter().filter(|pair| !pair.1.asks.is_empty());
        let worst = lines.max_by_key(|(_, line)| {
            let weight = line
                .asks
                .values()
                .next()
                .map_or(1, |first| first.ask.weight);
            line.work.0 / u64::from(weight.max(1))
        });
        let (customer, line) = worst?;
        let place = *line.asks.last_key_value()?.0;
        let customer = customer.clone();
        self.remove(&customer, place)
    }

    /// Drops the lines of customers that have nothing waiting and are not ahead of the tier.
    pub(super) fn sweep(&mut self) {
        let now = self.virtual_time;
        self.lines
            .retain(|_, line| !line.asks.is_empty() || line.virtual_time > now);
    }
}
