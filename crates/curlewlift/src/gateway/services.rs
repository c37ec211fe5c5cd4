//! The services of a gateway: their backend servers, and the assignment of slots at them.

use std::sync::Arc;

use curlewlift_core::clock;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::GatewayShare;
use curlewlift_core::gateway::Load;
use curlewlift_core::id;
use curlewlift_core::limit::Change;
use curlewlift_core::limit::Reports;
use curlewlift_core::limit::Slack;
use curlewlift_core::limit::Warmup;
use curlewlift_core::pool;
use curlewlift_core::pool::Assignment;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Part;
use curlewlift_core::pool::Ticket;
use curlewlift_core::rejection;
use curlewlift_core::unit::Tokens;
use tokio::sync::oneshot;

use super::hub_slots::AttemptContext;
use super::node::Node;
use super::service::Service;

/// # Servers
impl Node {
    /// Updates the pool of every service with its servers, and applies limits and warm-up rates.
    pub(super) fn update_pools(&self) {
        let now = self.now();
        let mut by_service = self.server_lists.borrow().get_subset().by_service();
        let mut services = self.services.borrow_mut();
        if let Some(table) = self.table() {
            let scheduling = table.scheduling(self.scheduling);
            for (name, provider) in table.get_services() {
                let service = services.entry(name.clone());
                let service =
                    service.or_insert_with(|| Service::new(self.retry_budget.borrow().clone()));
                let warmup = provider.cold_rate;
                let warmup = warmup.map(|rate| Warmup::new(rate, Slack::default()));
                service.pool.set_warmup(warmup, now);
                let scheduling = scheduling.get(name).copied();
                // Only the hub sees enough of the load to tell callers when to retry.
                let scheduling = scheduling.unwrap_or_default().without(Part::RetryTimes);
                service.pool.set_scheduling(scheduling);
            }
        }
        let policy = self.policy.borrow();
        for (name, service) in services.iter_mut() {
            let mut servers = by_service.remove(name).unwrap_or_default();
            servers.retain(|server| policy.allows(server));
            service.pool.inherit_notices(&servers, now);
            service.pool.update_servers(servers);
        }
        drop(policy);
        drop(services);
        let servers = self.server_lists.borrow().get_subset().servers.clone();
        let _ = self
            .limits
            .borrow_mut()
            .observe_servers(servers.iter(), now);
        self.apply_limits(self.limits.borrow().all_limits());
        self.assign_all_slots();
    }

    /// Applies rate limits that servers have announced or withdrawn.
    pub(super) fn apply_limits(&self, changes: impl Iterator<Item = Change>) {
        let now = self.now();
        for Change { key, limit } in changes {
            self.with_service(&key.service, |service| {
                service.pool.set_limit(&key, limit.as_ref(), now);
            });
        }
    }

    /// Sets this gateway's share of the retry budgets, from the hub's reply to a poll that was sent at `polled_at`.
    /// Returns the part of the share that is given up unused, at every service.
    pub(super) fn set_retry_share(
        &self,
        announced: &GatewayShare,
        polled_at: clock::Instant,
    ) -> f64 {
        let now = self.now();
        let mut template = self.retry_budget.borrow_mut();
        let given_up = template.set_share(announced, polled_at, now);
        let mut services = self.services.borrow_mut();
        let services = services.values_mut();
        let given_up_at_services =
            services.map(|service| service.budget.set_share(announced, polled_at, now));
        given_up_at_services.fold(given_up, f64::min)
    }

    /// Whether the hub places a service's requests by estimates, for which this gateway times the events of streams.
    pub(super) fn places_by_estimates(&self, name: &id::Service) -> bool {
        let places = |service: &mut Service| service.pool.uses(Part::Placement);
        self.with_service(name, places) == Some(true)
    }

    /// Whether only the hub may choose servers of a service: all have announced request limits, or they fail when they
    /// reject too many requests.
    pub(super) fn is_limited(&self, name: &id::Service) -> bool {
        let hub = self.hub.borrow();
        let mut limited = hub.rejection_limits.iter();
        if self.rejections.borrow().is_limited(name) || limited.any(|(other, _)| other == name) {
            return true;
        }
        let is_limited = |service: &mut Service| service.pool.total_limit_rate().is_some();
        self.with_service(name, is_limited) == Some(true)
    }

    /// Whether no server that accepts work runs a version that the request may be sent to, but other servers accept work.
    pub(super) fn lacks_versions(&self, context: AttemptContext<'_>) -> bool {
        let Some(versions) = context.allowed_versions else {
            return false;
        };
        let lacks = |service: &mut Service| {
            service.pool.accepts_work() && !service.pool.accepts_work_of(versions)
        };
        self.with_service(context.service, lacks) == Some(true)
    }

    /// What the hub is to know of limits that servers have announced.
    pub(super) fn limit_reports(&self) -> Reports {
        let begun = |report: &rejection::Report| {
            let begun = |service: &mut Service| service.pool.begun_requests(&report.incarnation);
            self.with_service(&report.service, begun).unwrap_or(0)
        };
        let now = self.now();
        Reports {
            rejections: self.rejections.borrow_mut().reports(begun, now),
            rejection_limits: self.hub.borrow().rejection_limits.clone(),
            ..self.limits.borrow().pending_reports()
        }
    }

    /// Applies what other gateways have in flight.
    pub(super) fn update_other_loads(&self, loads: &[Load]) {
        let mut services = self.services.borrow_mut();
        for service in services.values_mut() {
            service.pool.update_other_loads(loads);
        }
        drop(services);
        self.assign_all_slots();
    }

    /// The requests that this gateway has in flight.
    pub(super) fn loads(&self) -> Vec<Load> {
        let services = self.services.borrow();
        let services = services.values();
        services.flat_map(|service| service.pool.loads()).collect()
    }
}

/// # Slots
impl Node {
    /// Queues a request; none if the service is unknown.
    pub(super) fn enqueue(
        &self,
        name: &id::Service,
        request: pool::Request,
    ) -> Option<(Ticket, oneshot::Receiver<Assignment>)> {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let service = services.get_mut(name)?;
        let (ticket, displaced) = service.pool.enqueue(request, now);
        let (sender, receiver) = oneshot::channel();
        service.waiters.insert(ticket, sender);
        if let Some(last) = displaced {
            // Dropping the sender tells the waiter that its request was displaced.
            service.waiters.remove(&last);
        }
        drop(services);
        self.assign_slots(name);
        Some((ticket, receiver))
    }

    /// Removes a request from the queue.
    pub(super) fn dequeue(&self, name: &id::Service, ticket: Ticket) {
        self.with_service(name, |service| {
            service.pool.cancel(ticket);
            service.waiters.remove(&ticket);
        });
    }

    /// Records that a server has read a request's prompt, or will not read it.
    pub(super) fn record_first_byte(&self, name: &id::Service, incarnation: &str, prompt: Tokens) {
        self.with_service(name, |service| {
            service.pool.record_first_byte(incarnation, prompt);
        });
        self.report_wakeup.notify_one();
    }

    /// Records and reports the outcome of an attempt, and assigns the slot that it freed.
    pub(super) fn finish_attempt(&self, end: AttemptEnd) {
        let now = self.now();
        let name = end.service.clone();
        self.with_service(&name, |service| {
            let pool = &mut service.pool;
            pool.finish_attempt(&end.incarnation, end.outcome, now);
        });
        self.report_end(end);
        self.assign_slots(&name);
    }

    /// Records and reports the outcome of an attempt in a slot that another gateway has lent, where it counts.
    pub(super) fn finish_borrowed(&self, end: AttemptEnd) {
        let now = self.now();
        self.with_service(&end.service, |service| {
            service.pool.observe(&end.incarnation, end.outcome, now);
        });
        self.report_end(end);
    }

    /// Runs `action` on a service; none if the service is unknown.
    pub(super) fn with_service<T>(
        &self,
        name: &id::Service,
        action: impl FnOnce(&mut Service) -> T,
    ) -> Option<T> {
        self.services.borrow_mut().get_mut(name).map(action)
    }

    /// Assigns free slots at every service.
    pub(super) fn assign_all_slots(&self) {
        let names: Vec<_> = self.services.borrow().keys().cloned().collect();
        for name in names {
            self.assign_slots(&name);
        }
    }

    fn assign_slots(&self, name: &id::Service) {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let Some(service) = services.get_mut(name) else {
            return;
        };
        self.limit_slots(name, &mut service.pool);
        for assignment in service.pool.assign(now) {
            let incarnation = Arc::clone(&assignment.server.incarnation);
            let prompt = assignment.prompt;
            let waiter = service.waiters.remove(&assignment.ticket);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(assignment).is_ok());
            if !is_delivered {
                service.pool.record_first_byte(&incarnation, prompt);
                service
                    .pool
                    .finish_attempt(&incarnation, AttemptOutcome::Unknown, now);
            }
        }
        for ticket in service.pool.remove_doomed(now) {
            // Dropping the sender tells the waiter that its request can't be served in time.
            service.waiters.remove(&ticket);
        }
    }

    /// Number of requests queued at all services.
    pub(super) fn queue_len(&self) -> usize {
        let services = self.services.borrow();
        services
            .values()
            .map(|service| service.pool.queue_len())
            .sum()
    }
}
