//! The places at backend servers that the hub gives.

use std::time::Duration;

use crate::clock::Instant;
use crate::quarantine::Decision;
use crate::quarantine::Rejection;

use super::Grant;
use super::Hub;
use super::Report;
use super::SlotRequest;
use super::Ticket;
use super::dispatch::Left;
use super::grant::Given;

/// What becomes of a request that wants a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// It waits in line; another may have lost its place for want of room.
    Queued(Ticket, Option<Ticket>),
    /// The service has no servers here.
    NoServers,
    /// Its customer has used up its allowance; there is enough after this time, if nobody else draws.
    QuotaExceeded(Duration),
    /// Servers ended under such a request.
    Rejected(Rejection),
    /// It was sent before, and no further sending is left.
    NoRetry,
}

/// # Places at backend servers
impl Hub {
    /// Draws what a request counts, and puts it in line.
    pub fn request_slot(&mut self, want: SlotRequest, now: Instant) -> SlotDecision {
        self.observe(&want.observations, now);
        if !self.dispatcher.has(&want.service) {
            return SlotDecision::NoServers;
        }
        // By what it is, not by the try: each try is new to its gateway and here, and a request that ends servers
        // was given one for as often as it came: 13 servers ended in 16 s.
        let permit = match self.cases.decide(&want.identity, want.time_left, now) {
            Decision::Allowed => None,
            Decision::Permitted(permit) => Some(permit),
            Decision::Rejected(why) => return SlotDecision::Rejected(why),
        };
        let mut given = Given {
            charge: None,
            permit,
            retry: None,
        };
        if want.needs_retry {
            if !self.retries.draw(&want.service, now) {
                self.release(given, now);
                return SlotDecision::NoRetry;
            }
            given.retry = Some(want.service.clone());
        }
        self.reserve_for_standbys(now);
        if let Some(charge) = &want.charge {
            if let Err(wait) = self.desk.acquire(charge, now) {
                self.release(given, now);
                return SlotDecision::QuotaExceeded(wait);
            }
            given.charge = Some(charge.clone());
        }
        match self.dispatcher.want(want, given, now) {
            Ok((ticket, last)) => {
                SlotDecision::Queued(ticket, last.map(|last| self.release_queued(last, now)))
            }
            Err(given) => {
                self.release(given, now);
                SlotDecision::NoServers
            }
        }
    }

    /// Takes a request out of line.
    pub fn cancel(&mut self, ticket: &Ticket, now: Instant) {
        let given = self.dispatcher.leave(ticket);
        self.release(given, now);
    }

    /// Takes note of what a gateway tells as soon as an answer begins or a sending has ended.
    pub fn report(&mut self, report: &Report, now: Instant) {
        self.dispatcher
            .report(&report.host, report.last_grant, &report.loads);
        self.dispatcher.ended(&report.host, &report.ended, now);
        self.observe_outcomes(&report.ended);
        self.observe(&report.observations, now);
        self.apply_limit_reports(&report.host, &report.limit_reports, now);
    }

    /// Gives places to those in line for whom there is room.
    pub fn grant_slots(&mut self, now: Instant) -> Vec<(Ticket, Grant)> {
        self.dispatcher.set_on_trial(self.trials.on_trial());
        let served = self.dispatcher.serve(now).into_iter();
        let served = served.map(|(ticket, grant, given)| {
            self.trials.record_grant(&grant.server);
            if let Some(charge) = given.charge {
                self.desk.commit(&charge, now);
            }
            (ticket, grant)
        });
        served.collect()
    }

    /// Takes those out of line who are not likely to get a place in time, and tells of those who have lost
    /// theirs as servers ended under such requests.
    pub fn reject_doomed(&mut self, now: Instant) -> Vec<Ticket> {
        let mut out = std::mem::take(&mut self.withheld);
        for hopeless in self.dispatcher.give_up(now) {
            out.push(self.release_queued(hopeless, now));
        }
        out
    }

    /// Takes back what a request was given that has lost its place in line.
    fn release_queued(&mut self, (ticket, given): Left, now: Instant) -> Ticket {
        self.release(given, now);
        ticket
    }

    /// Takes back what a request was given that got no server.
    fn release(&mut self, given: Given, now: Instant) {
        if let Some(charge) = given.charge {
            self.desk.refund(&charge, now);
        }
        if let Some(permit) = given.permit {
            self.cases.release_permit(&permit);
        }
        if let Some(service) = given.retry {
            self.retries.give_back(&service);
        }
    }

    /// Sets aside what gateways that are not heard may be letting in by themselves.
    pub(super) fn reserve_for_standbys(&mut self, now: Instant) {
        let present = self.deputies.hub_fraction(now);
        self.desk.set_hub_share(present, now);
    }

    /// What only the passing of time brings: gateways fall silent, and their parts are set aside.
    pub fn tick(&mut self, now: Instant) {
        self.reserve_for_standbys(now);
        self.scan_gateways(now);
    }
}
