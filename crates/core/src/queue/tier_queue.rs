//! The queued requests of one tier.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id;
use crate::unit::Tokens;
use crate::virtual_time::VirtualTime;

use super::customer_queue::CustomerQueue;
use super::customer_queue::OrderKey;
use super::customer_queue::WaitingRequest;

/// The virtual time that one token takes for a customer of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;

/// The queues of one tier's customers, served by start-time fair queueing.
///
/// Costs are tokens, divided by the weight of the customer.
#[derive(Clone, Debug, Default)]
pub(super) struct TierQueue {
    customers: BTreeMap<id::Customer, CustomerQueue>,
    /// The customers with queued requests, by their virtual time.
    order: BTreeSet<(u64, id::Customer)>,
    virtual_time: VirtualTime,
    /// The cost of all queued requests.
    pub(super) work: Tokens,
}

impl TierQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The number of queued requests of `customer`.
    pub(super) fn count(&self, customer: &id::Customer) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |queue| queue.requests.len())
    }

    /// Adds a request to the queue of its customer.
    pub(super) fn push(&mut self, key: OrderKey, waiting: WaitingRequest) {
        let customer = waiting.request.customer.clone();
        let queue = self.customers.entry(customer.clone()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = self.virtual_time.resume(queue.virtual_time);
            self.order.insert((queue.virtual_time, customer));
        }
        queue.work += waiting.cost();
        self.work += waiting.cost();
        queue.requests.insert(key, waiting);
    }

    /// The next request in the fair order.
    pub(super) fn first(&self) -> Option<(OrderKey, &WaitingRequest)> {
        let (_, customer) = self.order.first()?;
        let queue = self.customers.get(customer)?;
        queue
            .requests
            .first_key_value()
            .map(|(key, waiting)| (*key, waiting))
    }

    /// Removes the next request in the fair order and charges its cost to the customer.
    pub(super) fn pop(&mut self) -> Option<WaitingRequest> {
        let (virtual_time, customer) = self.order.pop_first()?;
        let queue = self.customers.get_mut(&customer)?;
        let (_, waiting) = queue.requests.pop_first()?;
        let weight = u64::from(waiting.request.weight.max(1));
        let cost = waiting.cost().0 * VIRTUAL_TIME_PER_TOKEN / weight;
        queue.virtual_time = self.virtual_time.serve(virtual_time, cost);
        queue.work = queue.work.saturating_sub(waiting.cost());
        self.work = self.work.saturating_sub(waiting.cost());
        if !queue.requests.is_empty() {
            self.order.insert((queue.virtual_time, customer));
        }
        Some(waiting)
    }

    /// Removes the request at `key` of `customer` without charging its cost.
    pub(super) fn remove(
        &mut self,
        customer: &id::Customer,
        key: OrderKey,
    ) -> Option<WaitingRequest> {
        let queue = self.customers.get_mut(customer)?;
        let waiting = queue.requests.remove(&key)?;
        queue.work = queue.work.saturating_sub(waiting.cost());
        self.work = self.work.saturating_sub(waiting.cost());
        if queue.requests.is_empty() {
            self.order.remove(&(queue.virtual_time, customer.clone()));
        }
        Some(waiting)
    }

    /// Removes the request that is shed first: the one with the latest deadline, of the customer
    /// with the most queued work divided by its weight.
    ///
    /// Takes time linear in the customers of the tier; it is only called when the queue is full.
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
                .map_or(1, |first| first.request.weight);
            queue.work.0 / u64::from(weight.max(1))
        });
        let (customer, queue) = worst?;
        let key = *queue.requests.last_key_value()?.0;
        let customer = customer.clone();
        self.remove(&customer, key)
    }

    /// Drops customers that have nothing queued, unless they are ahead of the tier's virtual time.
    pub(super) fn sweep(&mut self) {
        let now = self.virtual_time;
        self.customers
            .retain(|_, queue| !queue.requests.is_empty() || now.is_ahead(queue.virtual_time));
    }
}
