//! The slots at backend servers that the hub grants.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::pool::CustomerUsage;
use crate::pool::InFlightLimit;
use crate::pool::PaceChange;
use crate::pool::ShareChange;
use crate::quarantine::Decision;
use crate::quarantine::Rejection;

use super::Grant;
use super::Hub;
use super::Report;
use super::SlotRequest;
use super::Ticket;
use super::dispatch::AvoidedServer;
use super::dispatch::Released;
use super::grant::Reservation;
use super::limits::SETTLING_TIME;

/// A queued request that the hub rejects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedRequest {
    /// The request.
    pub ticket: Ticket,
    /// After how long the caller should retry, if the hub knows.
    pub retry_after: Option<Duration>,
    /// Why quarantine has rejected it, if it has.
    pub quarantined: Option<Rejection>,
}

/// The hub's decision on a slot request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request is queued. Another request may have been rejected as the queue was full.
    Queued(Ticket, Option<RejectedRequest>),
    /// The service has no servers here.
    NoServers,
    /// The customer's quota is used up. It suffices again after this time if there are no further
    /// charges.
    QuotaExceeded(Duration),
    /// The request is rejected as servers crashed under requests of its identity.
    Rejected(Rejection),
    /// The request is a retry and the retry budget is used up.
    NoRetry,
    /// No server that accepts work runs a version that the request is restricted to.
    NoVersion,
}

/// # Slots at backend servers
impl Hub {
    /// Charges a request to its quota and queues it.
    pub fn request_slot(&mut self, mut request: SlotRequest, now: Instant) -> SlotDecision {
        self.observe(&request.observations, now);
        if !self.dispatcher.has_service(&request.service) {
            return SlotDecision::NoServers;
        }
        if !self.has_allowed_version(&request) {
            return SlotDecision::NoVersion;
        }
        // The permit goes by the request's identity rather than its ticket, as each retry by the
        // caller is new to its gateway and to the hub. A request that crashes servers would
        // otherwise get a permit each time: 13 servers crashed that way in 16 s.
        let permit =
            match self
                .tracker
                .decide(&request.features, &request.service, request.time_left, now)
            {
                Decision::Allowed => None,
                Decision::AllowedAt(versions) => {
                    request.allow_only(&versions);
                    if !self.has_allowed_version(&request) {
                        return SlotDecision::Rejected(Rejection::PartQuarantined);
                    }
                    None
                }
                Decision::Permitted(permit) => Some(permit),
                Decision::Rejected(why) => return SlotDecision::Rejected(why),
            };
        let mut reservation = Reservation {
            charge: None,
            permit,
            retry: None,
        };
        if request.needs_retry {
            reservation.retry = self.retries.acquire(&request.service, now);
            if reservation.retry.is_none() {
                self.release(reservation, now);
                return SlotDecision::NoRetry;
            }
        }
        self.reserve_for_standbys(now);
        if let Some(charge) = &request.charge {
            if let Err(wait) = self.limiter.acquire(charge, now) {
                self.release(reservation, now);
                return SlotDecision::QuotaExceeded(wait);
            }
            reservation.charge = Some(charge.clone());
        }
        match self.dispatcher.enqueue(request, reservation, now) {
            Ok((ticket, displaced)) => SlotDecision::Queued(
                ticket,
                displaced.map(|displaced| self.release_queued(displaced, now)),
            ),
            Err(reservation) => {
                self.release(reservation, now);
                SlotDecision::NoServers
            }
        }
    }

    /// Returns whether the hub is so new that it may not know yet what gateways have admitted of the quotas.
    #[must_use]
    pub fn is_settling(&self, now: Instant) -> bool {
        now.since(self.started) < SETTLING_TIME
    }

    /// Returns whether it has not heard from all gateways that may admit requests without it.
    #[must_use]
    pub fn awaits_standbys(&self) -> bool {
        self.standby_shares.awaits_first_reply()
    }

    /// Whether a server that accepts work runs a version that the request may be sent to.
    fn has_allowed_version(&self, request: &SlotRequest) -> bool {
        let versions = request.allowed_versions.as_ref();
        versions.is_none_or(|versions| self.dispatcher.has_version(&request.service, versions))
    }

    /// Returns how many retries to a service the hub has left.
    pub fn retries_left(&mut self, service: &id::Service, now: Instant) -> u32 {
        self.retries.left(service, now)
    }

    /// Returns how many requests each server may have in flight, where that is measured.
    pub fn in_flight_limits(&self) -> impl Iterator<Item = (&id::Service, InFlightLimit)> {
        self.dispatcher.in_flight_limits()
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, ticket: &Ticket, now: Instant) {
        let reservation = self.dispatcher.cancel(ticket);
        self.release(reservation, now);
    }

    /// Applies the report that a gateway sends as soon as a response begins or an attempt ends.
    pub fn report(&mut self, report: &Report, now: Instant) {
        self.table_leases
            .on_report(&report.host, report.known_table, report.table_in_effect);
        self.dispatcher
            .report(&report.host, report.last_grant, &report.loads);
        for grant in &report.unused {
            if let Some(charge) = self.dispatcher.take_charge(*grant) {
                self.limiter.refund_unused(&charge, now);
            }
        }
        self.dispatcher
            .record_outcomes(&report.host, &report.ended, now);
        self.observe(&report.observations, now);
        self.observe_outcomes(&report.ended);
        self.apply_limit_reports(&report.host, &report.limit_reports, now);
        self.record_streams(&report.host, &report.streams, now);
    }

    /// Grants free slots to queued requests.
    pub fn grant_slots(&mut self, now: Instant) -> Vec<(Ticket, Grant)> {
        self.dispatcher.set_on_trial(self.trials.on_trial());
        self.dispatcher.set_settling(self.is_settling(now));
        let reserved_shares = if self.dispatcher.has_local_slots() {
            self.retry_shares.reserved_shares(now)
        } else {
            Arc::default()
        };
        self.dispatcher.set_reserved_shares(reserved_shares);
        let grants = self.dispatcher.grant_slots(now).into_iter();
        let grants = grants.map(|(ticket, grant, reservation)| {
            self.trials.record_grant(&grant.server);
            if let Some(charge) = reservation.charge {
                self.limiter.commit(&charge, now);
            }
            (ticket, grant)
        });
        grants.collect()
    }

    /// Returns how many requests of each service were placed where they cannot be in time, and the
    /// engines that have become slow or have recovered, since the last call.
    pub fn take_placements(&mut self) -> Vec<(id::Service, u64, Vec<PaceChange>)> {
        self.dispatcher.take_placements()
    }

    /// Returns the servers that get no new requests for a while after a failed attempt, since the last call.
    pub fn take_avoided(&mut self) -> Vec<AvoidedServer> {
        self.dispatcher.take_avoided()
    }

    /// Removes requests that are unlikely to get a slot in time from the queue, and returns them
    /// together with those that quarantine has rejected since the last call.
    pub fn reject_doomed(&mut self, now: Instant) -> Vec<RejectedRequest> {
        let quarantined = std::mem::take(&mut self.rejected).into_iter();
        let mut rejected: Vec<_> = quarantined
            .map(|(ticket, why)| RejectedRequest {
                ticket,
                retry_after: None,
                quarantined: Some(why),
            })
            .collect();
        for doomed in self.dispatcher.remove_doomed(now) {
            rejected.push(self.release_queued(doomed, now));
        }
        rejected
    }

    /// Rejects a request whose wait limit has passed, and returns after how long its caller should
    /// retry, if the hub knows.
    pub fn give_up(&mut self, ticket: Ticket, now: Instant) -> Option<Duration> {
        let released = self.dispatcher.reject(ticket, now);
        self.release_queued(released, now).retry_after
    }

    /// Returns the slot time of customers since the last call, and who has begun or ended to ask for more than its share.
    pub fn take_slot_usage(&mut self, now: Instant) -> (Vec<CustomerUsage>, Vec<ShareChange>) {
        let usage = self.dispatcher.take_slot_usage();
        let changes = self.share_watch.add(&usage, now);
        (usage, changes)
    }

    /// Releases the reservation of a request that is no longer queued.
    fn release_queued(&mut self, released: Released, now: Instant) -> RejectedRequest {
        self.release(released.reservation, now);
        RejectedRequest {
            ticket: released.ticket,
            retry_after: released.retry_after,
            quarantined: None,
        }
    }

    /// Releases what was reserved for a request that got no slot.
    fn release(&mut self, reservation: Reservation, now: Instant) {
        if let Some(charge) = reservation.charge {
            self.limiter.refund(&charge, now);
        }
        if let Some(permit) = reservation.permit {
            self.tracker.release_permit(&permit);
        }
        if let Some(retry) = reservation.retry {
            self.retries.release(&retry);
        }
    }

    /// Reserves the shares of the standbys that may be admitting requests without the hub, as they
    /// have acknowledged no reply lately.
    pub(super) fn reserve_for_standbys(&mut self, now: Instant) {
        let hub_share = self.standby_shares.hub_share(now);
        self.limiter.set_hub_share(hub_share, now);
    }

    /// Does what depends on time alone: shares of unresponsive standbys are reserved, and gateways time
    /// out.
    pub fn tick(&mut self, now: Instant) {
        self.reserve_for_standbys(now);
        self.scan_gateways(now);
    }
}
