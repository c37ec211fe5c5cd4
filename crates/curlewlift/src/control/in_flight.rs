//! Reports the measured limits of requests in flight to operators.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::gateway::Hub;
use curlewlift_core::id;
use curlewlift_core::pool::InFlightLimit;
use curlewlift_core::pool::Reason;

use super::replica::State;

/// The shortest time between two reports of the limits, which change many times a second.
const LIMIT_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The most log lines of one report, as a service may have hundreds of servers.
const MAX_LINES_PER_REPORT: usize = 10;

/// The limits that were last reported to operators.
#[derive(Debug, Default)]
pub(super) struct KnownLimits {
    by_incarnation: HashMap<Arc<str>, InFlightLimit>,
    updated_at: Option<Instant>,
}

impl KnownLimits {
    /// Forgets the limits of a former hub.
    pub(super) fn clear(&mut self) {
        self.by_incarnation.clear();
    }

    /// Replaces the limits, and returns log lines on those that have changed notably.
    fn replace(&mut self, limits: &[(id::Service, InFlightLimit)]) -> Vec<Line> {
        let former = std::mem::take(&mut self.by_incarnation);
        let mut lines = Vec::new();
        for (service, limit) in limits {
            let known = former.get(&limit.incarnation);
            let is_notable = known.is_none_or(|known| limit.is_notable_after(known));
            let known = known.filter(|_| !is_notable || lines.len() >= MAX_LINES_PER_REPORT);
            if known.is_none() && lines.len() < MAX_LINES_PER_REPORT {
                lines.push(line(service, limit));
            }
            let known = known.unwrap_or(limit).clone();
            self.by_incarnation
                .insert(Arc::clone(&known.incarnation), known);
        }
        lines
    }
}

fn line(service: &id::Service, limit: &InFlightLimit) -> Line {
    let (server, reason) = (&limit.incarnation, limit.reason.name());
    let (slots, most) = (limit.slots, limit.limit);
    Line::new(Kind::InFlightLimit).detail(format_args!(
        "service={service} server={server} slots={slots} limit={most} reason={reason}"
    ))
}

/// Sets the metrics of a service's limits.
fn set_metrics(limits: &[(id::Service, InFlightLimit)]) {
    let mut by_service: BTreeMap<&id::Service, Vec<&InFlightLimit>> = BTreeMap::new();
    for (service, limit) in limits {
        by_service.entry(service).or_default().push(limit);
    }
    for (service, limits) in by_service {
        let extra = limits.iter();
        let extra = extra.map(|limit| limit.limit.saturating_sub(limit.slots));
        metrics::gauge!("curlewlift_extra_in_flight", "service" => service.to_string())
            .set(f64::from(extra.sum::<u32>()));
        for reason in Reason::ALL {
            let servers = limits.iter().filter(|limit| limit.reason == reason);
            #[expect(clippy::cast_precision_loss)]
            metrics::gauge!(
                "curlewlift_in_flight_limits",
                "service" => service.to_string(), "reason" => reason.name()
            )
            .set(servers.count() as f64);
        }
    }
}

impl State {
    /// Sets the metrics of the limits, and notes those that have changed notably, at most once per [`LIMIT_REPORT_INTERVAL`].
    pub(super) fn note_in_flight_limits(&mut self) {
        let now = self.clock.now();
        let updated_at = self.known_limits.updated_at;
        if updated_at.is_some_and(|updated_at| now.since(updated_at) < LIMIT_REPORT_INTERVAL) {
            return;
        }
        self.known_limits.updated_at = Some(now);
        let limits = self.hub.iter().flat_map(Hub::in_flight_limits);
        let limits: Vec<_> = limits
            .map(|(service, limit)| (service.clone(), limit))
            .collect();
        set_metrics(&limits);
        for line in self.known_limits.replace(&limits) {
            self.timeline.note(line);
        }
    }
}
