//! Gives the requests of all gateways their places at the backend servers, in one order.

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
use crate::pool::Pool;
use crate::pool::Request;
use crate::pool::TrialVersion;
use crate::quarantine::Identity;
use crate::quarantine::Permit;

use super::AttemptEnd;
use super::Grant;
use super::GrantId;
use super::Load;
use super::Server;
use super::ServerList;
use super::SlotRequest;
use super::grant::Given;
use super::occupancy::Occupancy;

/// A request in the line of its service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Of another hub it means nothing.
    hub: u64,
    service: id::Service,
    number: pool::Ticket,
}

/// Who is out of line again, and what it gives back.
pub(super) type Left = (Ticket, Given);

/// Who waits in line.
#[derive(Clone, Debug)]
struct Asking {
    host: id::Host,
    identity: Identity,
    /// Until when it may take in all.
    until: Instant,
    /// What is to be given back if it gets no place.
    given: Given,
}

/// Gives the requests of all gateways their places at the backend servers.
///
/// It knows of each server what all gateways together have in flight there, but for what is on its
/// way between two hosts, so requests wait in its line by rank and arrival, not in the servers'
/// own, which know no ranks.
#[derive(Debug, Default)]
pub(super) struct Dispatcher {
    hub: u64,
    pools: BTreeMap<id::Service, Pool>,
    asking: HashMap<Ticket, Asking>,
    occupancy: Occupancy,
    /// What the servers of a service get that may be cold, and since when that is kept.
    warmups: (BTreeMap<id::Service, Warmup>, Instant),
}

impl Dispatcher {
    /// A dispatcher of the hub that drew the number `hub`.
    pub(super) fn new(hub: u64) -> Self {
        Self {
            hub,
            ..Self::default()
        }
    }

    /// The number that its hub drew.
    pub(super) fn get_hub(&self) -> u64 {
        self.hub
    }

    /// Takes up a list of backend servers; of their `limits` a service that is new here knows nothing yet.
    pub(super) fn adopt(&mut self, listing: &ServerList, limits: &limit::Table) {
        let mut by_service = listing.by_service();
        for (service, pool) in &mut self.pools {
            pool.update_servers(by_service.remove(service).unwrap_or_default());
        }
        for (service, servers) in by_service {
            let mut pool = Pool::new(pool::Tuning::default(), self.hub).for_all_gateways();
            pool.update_servers(servers);
            for (key, limit, heard) in limits.service_limits(&service) {
                pool.set_limit(key, Some(limit), heard);
            }
            let (warmups, since) = &self.warmups;
            pool.set_warmup(warmups.get(&service).copied(), *since);
            self.pools.insert(service, pool);
        }
        // What is in flight may have been told before the server was on the list.
        for incarnation in self.pools.values().flat_map(Pool::incarnations) {
            self.occupancy.touch(incarnation);
        }
    }

    /// What servers get that may be cold, by service.
    pub(super) fn set_warmups(&mut self, warmups: BTreeMap<id::Service, Warmup>, now: Instant) {
        for (service, pool) in &mut self.pools {
            pool.set_warmup(warmups.get(service).copied(), now);
        }
        self.warmups = (warmups, now);
    }

    /// The versions that get no more than so many requests, by service.
    pub(super) fn set_on_trial<'a>(
        &mut self,
        on_trial: impl Iterator<Item = (&'a id::Service, TrialVersion)>,
    ) {
        let mut on_trial: BTreeMap<_, _> = on_trial.collect();
        for (service, pool) in &mut self.pools {
            pool.set_trial(on_trial.remove(service));
        }
    }

    /// The server of a service that has an incarnation.
    pub(super) fn server(&self, service: &id::Service, incarnation: &str) -> Option<&Arc<Server>> {
        self.pools.get(service)?.get(incarnation)
    }

    /// How many requests run at an incarnation.
    pub(super) fn in_flight(&self, incarnation: &str) -> u32 {
        let load = self.occupancy.get(incarnation);
        load.map_or(0, |load| load.requests)
    }

    /// Takes up what a gateway has in flight.
    pub(super) fn report(&mut self, host: &id::Host, mark: GrantId, loads: &[Load]) {
        let seen = if mark.hub == self.hub { mark.number } else { 0 };
        self.occupancy.report(host, seen, loads);
    }

    /// Takes note of how sendings of a gateway ended.
    pub(super) fn ended(&mut self, host: &id::Host, ends: &[AttemptEnd], now: Instant) {
        for ended in ends {
            if let Some(pool) = self.pools.get_mut(&ended.service) {
                pool.observe(&ended.incarnation, ended.outcome, now);
            }
            if let AttemptOutcome::Backoff(length) = ended.outcome {
                self.rests(host, ended, now + length);
            }
        }
    }

    /// A server has asked a host for rest: those that the host has in line for its service do not go there.
    fn rests(&mut self, host: &id::Host, ended: &AttemptEnd, until: Instant) {
        let Some(pool) = self.pools.get_mut(&ended.service) else {
            return;
        };
        let in_line = self.asking.iter();
        let in_line = in_line
            .filter(|(ticket, asking)| ticket.service == ended.service && asking.host == *host);
        for (ticket, _) in in_line {
            pool.add_backoff(ticket.number, &ended.incarnation, until);
        }
    }

    /// Servers have named limits, or name none any more.
    pub(super) fn limit(&mut self, changes: impl Iterator<Item = Change>, now: Instant) {
        for Change { key, limit } in changes {
            if let Some(pool) = self.pools.get_mut(&key.service) {
                pool.set_limit(&key, limit.as_ref(), now);
            }
        }
    }

    /// For how long requests waited only because servers had named limits, since this was last asked for.
    pub(super) fn take_held(&mut self) -> Duration {
        self.pools.values_mut().map(Pool::take_limit_wait).sum()
    }

    /// The number of the last grant.
    pub(super) fn last_grant(&self) -> u64 {
        self.occupancy.last_grant()
    }

    /// Drops what a gateway that is silent had in flight.
    pub(super) fn drop_host(&mut self, host: &id::Host) {
        self.occupancy.drop_host(host);
    }

    /// What gateways other than `host` have in flight at some `incarnations`.
    pub(super) fn others(&self, host: &id::Host, incarnations: &[Arc<str>]) -> Vec<Load> {
        self.occupancy.others(host, incarnations)
    }

    /// Whether a service has servers here.
    pub(super) fn has(&self, service: &id::Service) -> bool {
        self.pools.contains_key(service)
    }

    /// Puts a request in line with what it was given; tells who is turned away for want of room, and what
    /// that one gives back.
    ///
    /// # Errors
    ///
    /// What it was given, where the service has no servers here.
    pub(super) fn want(
        &mut self,
        want: SlotRequest,
        given: Given,
        now: Instant,
    ) -> Result<(Ticket, Option<Left>), Given> {
        let Some(pool) = self.pools.get_mut(&want.service) else {
            return Err(given);
        };
        let until = |(incarnation, left)| (incarnation, now + left);
        let ask = Request {
            rule: want.rule,
            rank: want.rank,
            arrived: now - want.waited,
            send_by: now + want.useful_for,
            wait_until: now + want.wait_limit,
            prompt: want.prompt,
            hall: want.hall,
            tried: want.tried,
            avoid: want.avoid.into_iter().map(until).collect(),
            backoffs: want.backing_off.into_iter().map(until).collect(),
            allowed_halls: want.allowed_halls,
        };
        let (number, last) = pool.enqueue(ask, now);
        let hub = self.hub;
        let ticket = |number| Ticket {
            hub,
            service: want.service.clone(),
            number,
        };
        let (asked, last) = (ticket(number), last.map(ticket));
        let asking = Asking {
            host: want.host,
            identity: want.identity,
            until: now + want.time_left,
            given,
        };
        self.asking.insert(asked.clone(), asking);
        let last = last.map(|last| self.take_out(last));
        Ok((asked, last))
    }

    /// Takes a request out of line; tells what it gives back, where it was in line.
    pub(super) fn leave(&mut self, ticket: &Ticket) -> Given {
        let Some(asking) = self.asking.remove(ticket) else {
            return Given::default();
        };
        if let Some(pool) = self.pools.get_mut(&ticket.service) {
            pool.cancel(ticket.number);
        }
        asking.given
    }

    /// Those in line that are a request, and were given no permit.
    pub(super) fn unpermitted(&self, identity: &Identity) -> Vec<Ticket> {
        let asking = self.asking.iter();
        let same = asking
            .filter(|(_, asking)| asking.given.permit.is_none() && asking.identity == *identity);
        same.map(|(ticket, _)| ticket.clone()).collect()
    }

    /// For how much longer one that is in line may take in all.
    pub(super) fn left(&self, ticket: &Ticket, now: Instant) -> Duration {
        let asking = self.asking.get(ticket);
        asking.map_or(Duration::ZERO, |asking| asking.until.since(now))
    }

    /// Gives one that is in line its permit.
    pub(super) fn permit(&mut self, ticket: &Ticket, permit: Permit) {
        if let Some(asking) = self.asking.get_mut(ticket) {
            asking.given.permit = Some(permit);
        }
    }

    /// Gives places to those in line for whom there is room; tells what each was given.
    pub(super) fn serve(&mut self, now: Instant) -> Vec<(Ticket, Grant, Given)> {
        self.occupancy.expire(now);
        self.occupy();
        let mut grants = Vec::new();
        for service in self.wanted() {
            for turn in self.turns(&service, now) {
                let ticket = Ticket {
                    hub: self.hub,
                    service: service.clone(),
                    number: turn.ticket,
                };
                let grant = self.grant(&ticket, &turn, now);
                grants.extend(grant.map(|(grant, given)| (ticket, grant, given)));
            }
        }
        grants
    }

    /// Takes those out of line who are not likely to get a place in time, with what they give back.
    pub(super) fn give_up(&mut self, now: Instant) -> Vec<Left> {
        let mut hopeless = Vec::new();
        for (service, pool) in &mut self.pools {
            let numbers = pool.remove_doomed(now).into_iter();
            hopeless.extend(numbers.map(|number| Ticket {
                hub: self.hub,
                service: service.clone(),
                number,
            }));
        }
        let hopeless = hopeless.into_iter();
        hopeless.map(|ticket| self.take_out(ticket)).collect()
    }

    /// Forgets a request that its pool has out of line already.
    fn take_out(&mut self, ticket: Ticket) -> Left {
        let asking = self.asking.remove(&ticket);
        (
            ticket,
            asking.map(|asking| asking.given).unwrap_or_default(),
        )
    }

    /// The services that somebody waits for.
    fn wanted(&self) -> Vec<id::Service> {
        let pools = self.pools.iter();
        let wanted = pools.filter(|(_, pool)| pool.queue_len() > 0);
        wanted.map(|(service, _)| service.clone()).collect()
    }

    /// Tells the pools what is in flight, where that has changed.
    fn occupy(&mut self) {
        for incarnation in self.occupancy.changed() {
            let in_flight = self.occupancy.get(&incarnation);
            for pool in self.pools.values_mut() {
                pool.set_in_flight(&incarnation, in_flight);
            }
        }
    }

    /// The turns that a service has, by what is in flight now.
    fn turns(&mut self, service: &id::Service, now: Instant) -> Vec<pool::Assignment> {
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let turns = pool.assign(now);
        for turn in &turns {
            // The pool has counted the turn itself; what is granted of it counts instead.
            self.occupancy.touch(&turn.server.incarnation);
        }
        turns
    }

    /// Makes a grant of a turn; none where nobody asks for it any more.
    fn grant(
        &mut self,
        ticket: &Ticket,
        turn: &pool::Assignment,
        now: Instant,
    ) -> Option<(Grant, Given)> {
        let Asking { host, given, .. } = self.asking.remove(ticket)?;
        let server = Server::clone(&turn.server);
        let load = Load {
            incarnation: Arc::clone(&server.incarnation),
            requests: 1,
            prefill_tokens: turn.prompt,
        };
        let id = GrantId {
            hub: self.hub,
            number: self.occupancy.grant(&host, load, now),
        };
        let permit = given.permit.as_ref().map(|permit| permit.number);
        let grant = Grant {
            id,
            server,
            permit,
            rate_charged: turn.charged_to_limit,
            includes_retry: given.retry.is_some(),
        };
        Some((grant, given))
    }
}
