//! One tier's waiting requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id;
use crate::unit::Tokens;

use super::customer_queue::CustomerQueue;
use super::customer_queue::OrderKey;
use super::customer_queue::WaitingRequest;

/// Virtual time for one token of a customer with weight 1.
const SCALE: u64 = 1_000;

/// One tier: the customers in the order of what they have had.
///
/// Start-time fair queueing: a customer that comes back begins where the tier is, so it can save
/// up nothing. While two customers both wait, what they had over their weights differs by at most
/// the cost of one request of each.
#[derive(Clone, Debug, Default)]
pub(super) struct TierQueue {
    customers: BTreeMap<id::Customer, CustomerQueue>,
    order: BTreeSet<(u64, id::Customer)>,
    virtual_time: u64,
    pub(super) work: Tokens,
}

impl TierQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Requests of `customer` that wait.
    pub(super) fn count(&self, customer: &id::Customer) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |queue| queue.requests.len())
    }

    pub(super) fn push(&mut self, key: OrderKey, waiting: WaitingRequest) {
        let customer = waiting.ask.customer.clone();
        let queue = self.customers.entry(customer.clone()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            self.order.insert((queue.virtual_time, customer));
        }
        queue.work += waiting.cost();
        self.work += waiting.cost();
        queue.requests.insert(key, waiting);
    }

    /// Whose turn it is.
    pub(super) fn first(&self) -> Option<(OrderKey, &WaitingRequest)> {
        let (_, customer) = self.order.first()?;
        let queue = self.customers.get(customer)?;
        queue
            .requests
            .first_key_value()
            .map(|(key, waiting)| (*key, waiting))
    }

    /// Takes out the request whose turn it is, and counts its cost.
    pub(super) fn pop(&mut self) -> Option<WaitingRequest> {
        let (virtual_time, customer) = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(virtual_time);
        let queue = self.customers.get_mut(&customer)?;
        let (_, waiting) = queue.requests.pop_first()?;
        let weight = u64::from(waiting.ask.weight.max(1));
        queue.virtual_time += waiting.cost().0 * SCALE / weight;
        queue.work = queue.work.less(waiting.cost());
        self.work = self.work.less(waiting.cost());
        if !queue.requests.is_empty() {
            self.order.insert((queue.virtual_time, customer));
        }
        Some(waiting)
    }

    /// Takes out the request at `key` of `customer`, without cost.
    pub(super) fn remove(
        &mut self,
        customer: &id::Customer,
        key: OrderKey,
    ) -> Option<WaitingRequest> {
        let queue = self.customers.get_mut(customer)?;
        let waiting = queue.requests.remove(&key)?;
        queue.work = queue.work.less(waiting.cost());
        self.work = self.work.less(waiting.cost());
        if queue.requests.is_empty() {
            self.order.remove(&(queue.virtual_time, customer.clone()));
        }
        Some(waiting)
    }

    /// Takes out what is shed first: the last deadline of the customer with the most work over its
    /// weight. Linear in the tier's customers; only called when the queue is full.
    pub(super) fn shed(&mut self) -> Option<WaitingRequest> {
        let customers = self
            .customers
            .iter()
            .filter(|pair| !pair.1.requests.is_empty());
        let worst = customers.max_by_key(|(_, queue)| {
            let weight = queue
                .requests
                .values()
                .next()
                .map_or(1, |first| first.ask.weight);
            queue.work.0 / u64::from(weight.max(1))
        });
        let (customer, queue) = worst?;
        let key = *queue.requests.last_key_value()?.0;
        let customer = customer.clone();
        self.remove(&customer, key)
    }

    /// Drops the queues of customers that have nothing waiting and are not ahead of the tier.
    pub(super) fn sweep(&mut self) {
        let now = self.virtual_time;
        self.customers
            .retain(|_, queue| !queue.requests.is_empty() || queue.virtual_time > now);
    }
}
