//! Assigns the requests of all gateways to slots of backend servers, in a single order.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::limit;
use crate::limit::Change;
use crate::limit::Warmup;
use crate::pool;
use crate::pool::AttemptOutcome;
use crate::pool::CustomerUsage;
use crate::pool::InFlightLimit;
use crate::pool::PaceChange;
use crate::pool::Part;
use crate::pool::Pool;
use crate::pool::Rejected;
use crate::pool::Scheduling;
use crate::pool::TrialVersion;
use crate::quarantine;
use crate::quarantine::Features;
use crate::quarantine::Observation;
use crate::quarantine::Permit;
use crate::quarantine::Software;
use crate::quota::Charge;
use crate::rejection;
use crate::rollout::Version;
use crate::route::Engine;

use super::AttemptEnd;
use super::Grant;
use super::GrantId;
use super::Load;
use super::Server;
use super::ServerList;
use super::SlotRequest;
use super::SlotShare;
use super::grant::Reservation;
use super::grant_log::GrantLog;
use super::grant_log::Granted;
use super::occupancy::Occupancy;

/// A request in the queue of its service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The hub that issued the ticket; other hubs don't know it.
    hub_id: u64,
    service: id::Service,
    number: pool::Ticket,
}

impl Ticket {
    /// Returns the service.
    #[must_use]
    pub fn service(&self) -> &id::Service {
        &self.service
    }
}

/// A request that is no longer queued.
#[derive(Debug)]
pub(super) struct Released {
    pub(super) ticket: Ticket,
    /// What is released as the request gets no slot.
    pub(super) reservation: Reservation,
    /// After how long the caller should retry, if that is known.
    pub(super) retry_after: Option<Duration>,
}

/// A backend server that gets no new requests for a while, because an attempt there failed.
#[derive(Clone, Debug, PartialEq)]
pub struct AvoidedServer {
    /// The service.
    pub service: id::Service,
    /// The incarnation.
    pub incarnation: Arc<str>,
    /// The host whose attempt failed.
    pub host: id::Host,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// For how long.
    pub avoid_for: Duration,
}

/// The most avoided servers that are kept for operators between two calls of [`Dispatcher::take_avoided`].
const MAX_AVOIDED_SERVERS: usize = 32;

/// A queued request.
#[derive(Clone, Debug)]
struct Waiting {
    host: id::Host,
    customer: Option<id::Customer>,
    /// What is needed to say when to retry, if the request gets no slot.
    request: Rejected,
    /// The parts of its prompt that other requests may have as well.
    parts: Arc<[quarantine::Part]>,
    /// What is released if the request gets no slot.
    reservation: Reservation,
}

impl Waiting {
    fn features(&self) -> Features {
        Features {
            identity: self.request.identity.clone(),
            parts: Arc::clone(&self.parts),
        }
    }
}

/// Assigns the requests of all gateways to slots of backend servers.
///
/// It knows how many requests all gateways together have in flight at each server, except for
/// messages still in transit. So requests queue here by rank and arrival and not at the servers,
/// which know no ranks.
#[derive(Debug, Default)]
pub(super) struct Dispatcher {
    hub_id: u64,
    pools: BTreeMap<id::Service, Pool>,
    waiting: HashMap<Ticket, Waiting>,
    occupancy: Occupancy,
    /// The rejections of servers that fail when they reject too many requests.
    rejections: rejection::Totals,
    /// Whether gateways may have requests in flight of which this hub has not heard.
    is_settling: bool,
    grant_log: GrantLog,
    /// The parts of scheduling under hard load that are in use, by service.
    scheduling: BTreeMap<id::Service, Scheduling>,
    /// What the table states about engines, by service.
    engines: BTreeMap<id::Service, Engine>,
    /// The shares of the slots that gateways may be using without the hub.
    reserved_shares: Arc<[(id::Host, SlotShare)]>,
    /// The request rates of cold servers, by service, and when they were set.
    warmups: (BTreeMap<id::Service, Warmup>, Instant),
    /// The servers that have been avoided since operators were last told.
    avoided: Vec<AvoidedServer>,
}

impl Dispatcher {
    /// Creates the dispatcher of the hub with the random number `hub_id`.
    pub(super) fn new(hub_id: u64) -> Self {
        Self {
            hub_id,
            ..Self::default()
        }
    }

    /// Returns the random number of its hub.
    pub(super) fn hub_id(&self) -> u64 {
        self.hub_id
    }

    /// Replaces the backend servers. The pool of a new service starts with its part of `limits`.
    pub(super) fn set_servers(&mut self, server_list: &ServerList, limits: &limit::Table) {
        let mut by_service = server_list.by_service();
        for (service, pool) in &mut self.pools {
            pool.update_servers(by_service.remove(service).unwrap_or_default());
        }
        let pools = &self.pools;
        self.rejections
            .retain(|incarnation| pools.values().any(|pool| pool.get(incarnation).is_some()));
        for (service, servers) in by_service {
            let mut pool = Pool::new(pool::Tuning::default(), self.hub_id).for_all_gateways();
            pool.update_servers(servers);
            for (key, limit, reported_at) in limits.service_limits(&service) {
                pool.set_limit(key, Some(limit), reported_at);
            }
            let (warmups, since) = &self.warmups;
            pool.set_warmup(warmups.get(&service).copied(), *since);
            pool.set_scheduling(self.scheduling.get(&service).copied().unwrap_or_default());
            pool.set_engine(self.engines.get(&service).copied().unwrap_or_default());
            self.pools.insert(service, pool);
        }
        // Loads may have been reported before the server was on the list.
        for incarnation in self.pools.values().flat_map(Pool::incarnations) {
            self.occupancy.mark_changed(incarnation);
        }
    }

    /// Sets the request rates of cold servers, by service.
    pub(super) fn set_warmups(&mut self, warmups: BTreeMap<id::Service, Warmup>, now: Instant) {
        for (service, pool) in &mut self.pools {
            pool.set_warmup(warmups.get(service).copied(), now);
        }
        self.warmups = (warmups, now);
    }

    /// Sets the parts of scheduling under hard load that are in use, by service.
    pub(super) fn set_scheduling(&mut self, scheduling: BTreeMap<id::Service, Scheduling>) {
        for (service, pool) in &mut self.pools {
            pool.set_scheduling(scheduling.get(service).copied().unwrap_or_default());
        }
        self.scheduling = scheduling;
    }

    /// Sets what the table states about engines, by service.
    pub(super) fn set_engines(&mut self, engines: BTreeMap<id::Service, Engine>) {
        for (service, pool) in &mut self.pools {
            pool.set_engine(engines.get(service).copied().unwrap_or_default());
        }
        self.engines = engines;
    }

    /// Sets the shares of the slots that gateways may be using without the hub.
    pub(super) fn set_reserved_shares(&mut self, reserved_shares: Arc<[(id::Host, SlotShare)]>) {
        self.reserved_shares = reserved_shares;
    }

    /// Returns whether gateways use shares of the slots of any service without the hub.
    pub(super) fn has_local_slots(&self) -> bool {
        let mut scheduling = self.scheduling.values();
        scheduling.any(|scheduling| scheduling.has(Part::LocalSlots))
    }

    /// Returns how many slots of a service gateways may be using without the hub, beyond what they have reported.
    fn reserved_slots(&self, pool: &Pool) -> u32 {
        let slots = pool.total_slots();
        let reserved = self.reserved_shares.iter().map(|(host, share)| {
            let reported = self
                .occupancy
                .host_requests(host, |incarnation| pool.get(incarnation).is_some());
            share.slots(slots).saturating_sub(reported)
        });
        reserved.sum()
    }

    /// Sets which version of each service is on trial and how many requests it may get.
    pub(super) fn set_on_trial<'a>(
        &mut self,
        on_trial: impl Iterator<Item = (&'a id::Service, TrialVersion)>,
    ) {
        let mut on_trial: BTreeMap<_, _> = on_trial.collect();
        for (service, pool) in &mut self.pools {
            pool.set_trial(on_trial.remove(service));
        }
    }

    /// Returns the server of a service that has an incarnation.
    pub(super) fn server(&self, service: &id::Service, incarnation: &str) -> Option<&Arc<Server>> {
        self.pools.get(service)?.get(incarnation)
    }

    /// Returns the number of requests in flight at an incarnation.
    pub(super) fn in_flight(&self, incarnation: &str) -> u32 {
        let load = self.occupancy.get(incarnation);
        load.map_or(0, |load| load.requests)
    }

    /// Records what a gateway has in flight.
    pub(super) fn report(&mut self, host: &id::Host, last_grant: GrantId, loads: &[Load]) {
        let last_seen = if last_grant.hub_id == self.hub_id {
            last_grant.number
        } else {
            0
        };
        self.occupancy.report(host, last_seen, loads);
    }

    /// Records what a gateway knows of servers that fail when they reject too many requests.
    pub(super) fn record_rejections(
        &mut self,
        host: &id::Host,
        reports: &[rejection::Report],
        now: Instant,
    ) {
        for incarnation in self.rejections.record(host, reports, now) {
            self.occupancy.mark_changed(&incarnation);
        }
    }

    /// Sets whether gateways may have requests in flight of which this hub has not heard.
    pub(super) fn set_settling(&mut self, is_settling: bool) {
        self.is_settling = is_settling;
    }

    /// Applies the limits on rejections that gateways know from a former hub, while this one is new.
    pub(super) fn inherit_rejection_limits(
        &mut self,
        limits: &[(id::Service, rejection::Limit)],
        now: Instant,
    ) {
        if self.is_settling {
            self.rejections.inherit(limits, now);
        }
    }

    /// Returns how many requests a second each server of a service may reject, where that is limited.
    pub(super) fn rejection_limits(&self) -> Vec<(id::Service, rejection::Limit)> {
        self.rejections.limits()
    }

    /// Removes the charge of a grant of this hub that was not used. Returns nothing if it has none, or is not known.
    pub(super) fn take_charge(&mut self, grant: GrantId) -> Option<Charge> {
        let is_own = grant.hub_id == self.hub_id;
        is_own.then(|| self.grant_log.take_charge(grant.number))?
    }

    /// Records how attempts of a gateway ended.
    pub(super) fn record_outcomes(
        &mut self,
        host: &id::Host,
        attempts: &[AttemptEnd],
        now: Instant,
    ) {
        for attempt in attempts {
            if let Some(pool) = self.pools.get_mut(&attempt.service) {
                // What one host cannot reach is no evidence about the server for the others.
                if attempt.outcome != AttemptOutcome::Unreachable {
                    pool.observe(&attempt.incarnation, attempt.outcome, now);
                }
                if attempt.outcome.is_break() && self.avoided.len() < MAX_AVOIDED_SERVERS {
                    self.avoided.push(AvoidedServer {
                        service: attempt.service.clone(),
                        incarnation: Arc::clone(&attempt.incarnation),
                        host: host.clone(),
                        outcome: attempt.outcome,
                        avoid_for: pool.avoid_for(&attempt.incarnation, now),
                    });
                }
                let is_own = attempt.grant.hub_id == self.hub_id;
                let number = Some(attempt.grant.number).filter(|_| is_own);
                if let Some(number) = number {
                    pool.record_attempt(
                        &attempt.incarnation,
                        number,
                        attempt.outcome,
                        attempt.load.as_ref(),
                        now,
                    );
                }
                if let Some(number) = number
                    && !attempt.outcome.is_end()
                {
                    self.grant_log.record_begin(number, now);
                }
                let number = number.filter(|_| attempt.outcome.is_end());
                let release = number.and_then(|number| self.grant_log.finish(number, attempt, now));
                let held = release.as_ref().map(|release| release.held);
                pool.measure_end(attempt, held, now);
                if let Some(release) = release {
                    pool.record_release(&release, now);
                }
            }
            if let AttemptOutcome::Backoff(length) = attempt.outcome {
                self.back_off(host, attempt, now + length);
            }
        }
    }

    /// Keeps the queued requests of a host away from a server that asked this host to back off.
    fn back_off(&mut self, host: &id::Host, attempt: &AttemptEnd, until: Instant) {
        let Some(pool) = self.pools.get_mut(&attempt.service) else {
            return;
        };
        let queued = self.waiting.iter();
        let queued = queued
            .filter(|(ticket, waiting)| ticket.service == attempt.service && waiting.host == *host);
        for (ticket, _) in queued {
            pool.add_backoff(ticket.number, &attempt.incarnation, until);
        }
    }

    /// Applies changes of the limits that servers announced.
    pub(super) fn set_limits(&mut self, changes: impl Iterator<Item = Change>, now: Instant) {
        for Change { key, limit } in changes {
            if let Some(pool) = self.pools.get_mut(&key.service) {
                pool.set_limit(&key, limit.as_ref(), now);
            }
        }
    }

    /// Returns for how long requests have waited only because of limits that servers announced, since
    /// the last call.
    pub(super) fn take_limit_wait(&mut self) -> Duration {
        self.pools.values_mut().map(Pool::take_limit_wait).sum()
    }

    /// Returns how many requests each server may have in flight, where that is measured.
    pub(super) fn in_flight_limits(&self) -> impl Iterator<Item = (&id::Service, InFlightLimit)> {
        let pools = self.pools.iter();
        pools.flat_map(|(service, pool)| pool.in_flight_limits().map(move |limit| (service, limit)))
    }

    /// Returns the slot time of customers since the last call, if they have shares.
    pub(super) fn take_slot_usage(&mut self) -> Vec<CustomerUsage> {
        let pools = self.pools.iter_mut();
        let usage = pools.flat_map(|(service, pool)| {
            let usage = pool.take_slot_usage().into_iter();
            usage.map(|(customer, usage)| (service.clone(), customer, usage))
        });
        usage.collect()
    }

    /// Returns how many requests of each service were placed where they cannot be in time, and the
    /// engines that have become slow or have recovered, since the last call.
    pub(super) fn take_placements(&mut self) -> Vec<(id::Service, u64, Vec<PaceChange>)> {
        let pools = self.pools.iter_mut();
        let taken = pools.map(|(service, pool)| {
            let late = pool.take_late_placements();
            (service.clone(), late, pool.take_pace_changes())
        });
        taken
            .filter(|(_, late, changes)| *late > 0 || !changes.is_empty())
            .collect()
    }

    /// Returns the servers that get no new requests for a while, since the last call.
    pub(super) fn take_avoided(&mut self) -> Vec<AvoidedServer> {
        std::mem::take(&mut self.avoided)
    }

    /// Returns the number of the last grant.
    pub(super) fn last_grant(&self) -> u64 {
        self.occupancy.last_grant()
    }

    /// Returns what is known of the requests with parts in their prompts that `host` had in flight when it was last heard of
    /// at `last_heard`.
    pub(super) fn in_flight_of(
        &self,
        host: &id::Host,
        last_heard: Instant,
        now: Instant,
    ) -> Vec<Observation> {
        let is_in_flight =
            |number, incarnation: &str| self.occupancy.may_be_in_flight(host, number, incarnation);
        self.grant_log
            .in_flight(host, is_in_flight, last_heard, now)
    }

    /// Forgets the grants of a process of `host` that is gone.
    pub(super) fn forget_grants(&mut self, host: &id::Host) {
        self.grant_log.drop_host(host);
    }

    /// Drops what a gateway that timed out had in flight.
    pub(super) fn drop_host(&mut self, host: &id::Host) {
        self.occupancy.drop_host(host);
        for incarnation in self.rejections.drop_host(host) {
            self.occupancy.mark_changed(&incarnation);
        }
    }

    /// Returns what gateways other than `host` have in flight at `incarnations`.
    pub(super) fn other_loads(&self, host: &id::Host, incarnations: &[Arc<str>]) -> Vec<Load> {
        self.occupancy.other_loads(host, incarnations)
    }

    /// Returns the services that have servers here.
    pub(super) fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.pools.keys()
    }

    /// Returns whether a service has servers here.
    pub(super) fn has_service(&self, service: &id::Service) -> bool {
        self.pools.contains_key(service)
    }

    /// Returns whether a server of a service that accepts new work runs one of `versions`.
    pub(super) fn has_version(&self, service: &id::Service, versions: &[Version]) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| pool.accepts_work_of(versions))
    }

    /// Queues a request with its reservation. If the queue is full, another request may be rejected
    /// for it, which is returned with its own reservation.
    ///
    /// # Errors
    ///
    /// Returns the reservation if the service has no servers here.
    pub(super) fn enqueue(
        &mut self,
        request: SlotRequest,
        reservation: Reservation,
        now: Instant,
    ) -> Result<(Ticket, Option<Released>), Reservation> {
        let Some(pool) = self.pools.get_mut(&request.service) else {
            return Err(reservation);
        };
        let returned = pool.recognise(&request.features.identity, now);
        let mut pool_request = request.to_pool_request(now);
        let arrived = pool_request.arrived;
        if let Some(returned) = returned {
            pool_request.arrived = returned.queued_as;
        }
        let (number, displaced) = pool.enqueue(pool_request, now);
        let hub_id = self.hub_id;
        let ticket = |number| Ticket {
            hub_id,
            service: request.service.clone(),
            number,
        };
        let (queued, displaced) = (ticket(number), displaced.map(ticket));
        let waiting = Waiting {
            host: request.host,
            customer: request.customer,
            request: Rejected {
                identity: request.features.identity,
                rank: request.rank,
                arrived: returned.map_or(arrived, |returned| returned.arrived),
                deadline: now + request.time_left,
                returned,
            },
            parts: request.features.parts,
            reservation,
        };
        self.waiting.insert(queued.clone(), waiting);
        let displaced = displaced.map(|displaced| self.reject(displaced, now));
        Ok((queued, displaced))
    }

    /// Removes a request from its queue and returns its reservation, which is empty if it was not
    /// queued.
    pub(super) fn cancel(&mut self, ticket: &Ticket) -> Reservation {
        let Some(waiting) = self.waiting.remove(ticket) else {
            return Reservation::default();
        };
        if let Some(pool) = self.pools.get_mut(&ticket.service) {
            pool.cancel(ticket.number);
        }
        waiting.reservation
    }

    /// Returns the queued requests without a permit that have features in common with `crashed`.
    pub(super) fn unpermitted(&self, crashed: &Features) -> Vec<(Ticket, Features)> {
        let waiting = self.waiting.iter();
        let without_permit = waiting.filter(|(_, waiting)| waiting.reservation.permit.is_none());
        let queued = without_permit.map(|(ticket, waiting)| (ticket.clone(), waiting.features()));
        queued
            .filter(|(_, features)| features.has_common(crashed))
            .collect()
    }

    /// Returns the time left to complete a queued request.
    pub(super) fn time_left(&self, ticket: &Ticket, now: Instant) -> Duration {
        let waiting = self.waiting.get(ticket);
        waiting.map_or(Duration::ZERO, |waiting| {
            waiting.request.deadline.since(now)
        })
    }

    /// Gives a queued request its permit.
    pub(super) fn set_permit(&mut self, ticket: &Ticket, permit: Permit) {
        if let Some(waiting) = self.waiting.get_mut(ticket) {
            waiting.reservation.permit = Some(permit);
        }
    }

    /// Grants the free slots to queued requests and returns the grants with the reservations of the
    /// requests.
    pub(super) fn grant_slots(&mut self, now: Instant) -> Vec<(Ticket, Grant, Reservation)> {
        let reserved = self.reserved_shares.iter();
        let is_silent = |host: &id::Host| reserved.clone().any(|(other, _)| other == host);
        for load in self.occupancy.expire(is_silent, now) {
            self.rejections.record_unreported(&load.incarnation, now);
        }
        for incarnation in self.rejections.expire(now) {
            self.occupancy.mark_changed(&incarnation);
        }
        self.update_pools();
        let mut grants = Vec::new();
        for service in self.services_with_queue() {
            for assignment in self.assign(&service, now) {
                let ticket = Ticket {
                    hub_id: self.hub_id,
                    service: service.clone(),
                    number: assignment.ticket,
                };
                let grant = self.grant(&ticket, &assignment, now);
                grants.extend(grant.map(|(grant, reservation)| (ticket, grant, reservation)));
            }
        }
        grants
    }

    /// Removes the queued requests that are unlikely to get a slot in time, and returns their
    /// reservations.
    pub(super) fn remove_doomed(&mut self, now: Instant) -> Vec<Released> {
        let mut doomed = Vec::new();
        for (service, pool) in &mut self.pools {
            let numbers = pool.remove_doomed(now).into_iter();
            doomed.extend(numbers.map(|number| Ticket {
                hub_id: self.hub_id,
                service: service.clone(),
                number,
            }));
        }
        let doomed = doomed.into_iter();
        doomed.map(|ticket| self.reject(ticket, now)).collect()
    }

    /// Rejects a request for lack of room, whether or not its pool has removed it.
    pub(super) fn reject(&mut self, ticket: Ticket, now: Instant) -> Released {
        let waiting = self.waiting.remove(&ticket);
        let pool = self.pools.get_mut(&ticket.service);
        let retry_after = pool.zip(waiting.as_ref()).and_then(|(pool, waiting)| {
            pool.cancel(ticket.number);
            pool.schedule_retry(&waiting.request, now)
        });
        Released {
            ticket,
            reservation: waiting
                .map(|waiting| waiting.reservation)
                .unwrap_or_default(),
            retry_after,
        }
    }

    /// Returns the services for which requests are queued.
    fn services_with_queue(&self) -> Vec<id::Service> {
        let pools = self.pools.iter();
        let queued = pools.filter(|(_, pool)| pool.queue_len() > 0);
        queued.map(|(service, _)| service.clone()).collect()
    }

    /// Updates the pools with what is in flight where that has changed.
    fn update_pools(&mut self) {
        for incarnation in self.occupancy.take_changed() {
            let in_flight = self.occupancy.get(&incarnation);
            let requests = in_flight.map_or(0, |load| load.requests);
            let exposure = self.rejections.exposure(&incarnation, requests);
            for pool in self.pools.values_mut() {
                pool.set_in_flight(&incarnation, in_flight);
                pool.set_exposure(&incarnation, exposure);
            }
        }
    }

    /// Assigns free slots of a service to requests, by what is in flight now.
    fn assign(&mut self, service: &id::Service, now: Instant) -> Vec<pool::Assignment> {
        let pool = self.pools.get(service);
        let pool = pool.filter(|pool| pool.uses(Part::LocalSlots));
        let reserved = pool.map(|pool| self.reserved_slots(pool));
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let rejection_limit = self.rejections.limit(service);
        pool.set_rejection_limit(rejection_limit);
        if rejection_limit.is_some() && self.is_settling {
            return Vec::new();
        }
        pool.limit_assignments(reserved.map(|reserved| pool.room().saturating_sub(reserved)));
        let assignments = pool.assign(now);
        for assignment in &assignments {
            // The pool has counted the assignment itself. It is counted by the grant from now on.
            self.occupancy.mark_changed(&assignment.server.incarnation);
        }
        assignments
    }

    /// Turns an assignment into a grant. Returns nothing if the request is no longer queued.
    fn grant(
        &mut self,
        ticket: &Ticket,
        assignment: &pool::Assignment,
        now: Instant,
    ) -> Option<(Grant, Reservation)> {
        let waiting = self.waiting.remove(ticket)?;
        let features = waiting.features();
        let Waiting {
            host,
            customer,
            reservation,
            ..
        } = waiting;
        let server = Server::clone(&assignment.server);
        let load = Load {
            incarnation: Arc::clone(&server.incarnation),
            requests: 1,
            prefill_tokens: assignment.prompt,
        };
        let id = GrantId {
            hub_id: self.hub_id,
            number: self.occupancy.grant(&host, load, now),
        };
        let incarnation = Arc::clone(&server.incarnation);
        if let Some(pool) = self.pools.get_mut(&ticket.service) {
            pool.record_grant(&incarnation, ticket.number, id.number);
        }
        let permit = reservation.permit.as_ref().map(|permit| permit.number);
        let granted = Granted {
            host,
            incarnation,
            software: Software {
                service: ticket.service.clone(),
                version: server.version.clone(),
            },
            features,
            customer,
            charge: reservation.charge.clone(),
            permit,
        };
        self.grant_log.record(id.number, granted, now);
        let grant = Grant {
            id,
            server,
            permit,
            charged_to_limit: assignment.charged_to_limit,
            retries_left: reservation.retry.as_ref().map(|retry| retry.left),
        };
        Some((grant, reservation))
    }
}
