//! What the hub knows about the limits that servers announce.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;

use super::Key;
use super::Rate;
use super::Report;
use super::Reports;

/// The shortest time between two versions sent to the gateways. Servers whose limits change with every response must
/// not cause a reply to each of hundreds of gateways every time.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(250);

/// By what fraction a rate must change before gateways are sent an update. Gateways need the rate only to report it to
/// the next hub, and that one gets the current rate with the next response.
const PUBLISHED_RATE_CHANGE: f64 = 0.1;

/// How many changes are kept for gateways that are a little behind; those further behind get the whole table.
const MAX_RECENT_CHANGES: usize = 64;

/// How many servers are remembered, at some 100 bytes each; the one reported longest ago is dropped first.
const MAX_SERVERS: usize = 4_096;

/// The limit of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// How many requests per second the server accepts.
    pub rate: Rate,
    /// The number of the last grant that the hub gave without knowing of the limit.
    pub last_unaware_grant: u64,
    /// Whether a response to a grant of this hub has announced it; a limit known from a former hub may be out of date.
    pub confirmed: bool,
}

/// A server whose limit was announced, changed or lifted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The server.
    pub key: Key,
    /// Its current limit; `None` if it has none.
    pub limit: Option<Limit>,
}

/// An update of a gateway's copy of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The version after the update.
    pub version: u64,
    /// The version that the update applies to; `None` if it contains the whole table.
    pub base_version: Option<u64>,
    /// The changed limits.
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Entry {
    limit: Limit,
    /// The number of the hub's last grant when the limit was last reported. A response to a later grant is newer.
    newer_after_grant: u64,
    reported: Instant,
    /// The rate that was last published to gateways.
    published_rate: Rate,
}

/// The reports of a gateway that have been received.
#[derive(Clone, Copy, Debug)]
struct Received {
    incarnation: u64,
    last_number: u64,
}

/// What the hub knows about the limits that servers announce.
#[derive(Clone, Debug)]
pub struct Table {
    /// The random number that identifies the hub.
    hub_id: u64,
    entries: BTreeMap<Key, Entry>,
    received: BTreeMap<id::Host, Received>,
    /// Increases with each published change.
    version: u64,
    /// The servers that changed last. An update contains their current limits rather than those of its version: a
    /// gateway that has sent a report since must not get an older limit back.
    recent: VecDeque<Key>,
    /// The servers whose changes are not published yet.
    unpublished: BTreeSet<Key>,
    /// When changes were last published.
    published: Option<Instant>,
}

impl Table {
    /// Creates an empty table of the hub identified by the random number `hub_id`.
    #[must_use]
    pub fn new(hub_id: u64) -> Self {
        Self {
            hub_id,
            entries: BTreeMap::new(),
            received: BTreeMap::new(),
            version: 0,
            recent: VecDeque::new(),
            unpublished: BTreeSet::new(),
            published: None,
        }
    }

    /// Records a gateway's reports, where `last_grant` is the number of the hub's last grant; returns the limits of the
    /// servers that the reports concern.
    pub fn record(
        &mut self,
        host: &id::Host,
        reports: &Reports,
        last_grant: u64,
        now: Instant,
    ) -> Vec<Change> {
        let mut touched = BTreeSet::new();
        let received = self.received.get(host);
        let last_number = received.filter(|received| received.incarnation == reports.incarnation);
        // Reports are resent until they are acknowledged. Applied twice, one would undo reports received in between.
        let last_number = last_number.map_or(0, |received| received.last_number);
        let new = reports
            .reports
            .iter()
            .filter(|report| report.number > last_number);
        for report in new.clone() {
            touched.extend(self.make_room(report));
            if self.apply_report(report, last_grant, now) {
                touched.insert(report.key.clone());
            }
        }
        let last_number = new.map(|report| report.number).fold(last_number, u64::max);
        let incarnation = reports.incarnation;
        self.received.insert(
            host.clone(),
            Received {
                incarnation,
                last_number,
            },
        );
        touched.iter().map(|key| self.change(key)).collect()
    }

    /// Applies one report; returns whether it concerns a limit.
    fn apply_report(&mut self, report: &Report, last_grant: u64, now: Instant) -> bool {
        let entry = self.entries.get_mut(&report.key);
        let is_newer = |entry: &Entry| {
            report.grant_id.hub_id == self.hub_id
                && report.grant_id.number > entry.newer_after_grant
        };
        let Some(rate) = report.rate else {
            // A response that may be older than the limit does not lift it.
            let is_lifted = entry.is_some_and(|entry| is_newer(entry));
            if is_lifted {
                self.entries.remove(&report.key);
                self.unpublished.insert(report.key.clone());
            }
            return is_lifted;
        };
        let confirmed = report.grant_id.hub_id == self.hub_id;
        if let Some(entry) = entry {
            entry.limit.confirmed |= confirmed;
            // If the two rates may have been announced in either order, the lower one applies.
            if is_newer(entry) || rate < entry.limit.rate {
                entry.limit.rate = rate;
            }
            let rate = entry.limit.rate;
            entry.newer_after_grant = last_grant;
            entry.reported = now;
            let published = entry.published_rate.as_f64();
            if (rate.as_f64() - published).abs() > published * PUBLISHED_RATE_CHANGE {
                entry.published_rate = rate;
                self.unpublished.insert(report.key.clone());
            }
            return true;
        }
        let limit = Limit {
            rate,
            last_unaware_grant: last_grant,
            confirmed,
        };
        let entry = Entry {
            limit,
            newer_after_grant: last_grant,
            reported: now,
            published_rate: rate,
        };
        self.entries.insert(report.key.clone(), entry);
        self.unpublished.insert(report.key.clone());
        true
    }

    /// Drops the server reported longest ago if the table has no room for that of `report`; returns the dropped one.
    fn make_room(&mut self, report: &Report) -> Option<Key> {
        if self.entries.len() < MAX_SERVERS || self.entries.contains_key(&report.key) {
            return None;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.reported);
        let oldest = oldest.map(|(key, _)| key.clone())?;
        self.entries.remove(&oldest);
        self.unpublished.insert(oldest.clone());
        Some(oldest)
    }

    fn change(&self, key: &Key) -> Change {
        let entry = self.entries.get(key);
        Change {
            key: key.clone(),
            limit: entry.map(|entry| entry.limit.clone()),
        }
    }

    /// Returns the limits of a service's servers, and when each was last reported.
    pub fn service_limits<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = (&'a Key, &'a Limit, Instant)> {
        let entries = self.entries.iter();
        let entries = entries.filter(move |(key, _)| key.service == *service);
        entries.map(|(key, entry)| (key, &entry.limit, entry.reported))
    }

    /// Publishes the changes as a new version if the publish interval has passed; returns whether there is a new
    /// version.
    pub fn publish(&mut self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < MIN_PUBLISH_INTERVAL;
        if self.unpublished.is_empty() || self.published.is_some_and(is_recent) {
            return false;
        }
        self.published = Some(now);
        for key in std::mem::take(&mut self.unpublished) {
            self.version += 1;
            self.recent.push_back(key);
            if self.recent.len() > MAX_RECENT_CHANGES {
                self.recent.pop_front();
            }
        }
        true
    }

    /// Returns whether a gateway with `version` of the table of the hub `hub_id` needs an update.
    #[must_use]
    pub fn is_outdated(&self, (hub_id, version): (u64, u64)) -> bool {
        hub_id != self.hub_id || version != self.version
    }

    /// Returns the update from a gateway's version to the current one; `None` if it has the current one.
    #[must_use]
    pub fn update_since(&self, (hub_id, version): (u64, u64)) -> Option<Update> {
        if !self.is_outdated((hub_id, version)) {
            return None;
        }
        let missing = self.version.checked_sub(version);
        let missing = missing.filter(|_| hub_id == self.hub_id);
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let first = missing.and_then(|missing| self.recent.len().checked_sub(missing));
        let changes = match first {
            Some(first) => {
                let recent = self.recent.iter().skip(first);
                recent.map(|key| self.change(key)).collect()
            }
            None => self.entries.keys().map(|key| self.change(key)).collect(),
        };
        Some(Update {
            version: self.version,
            base_version: first.map(|_| version),
            changes,
        })
    }

    /// Forgets the received report numbers of gateways that are no longer known.
    pub fn retain_gateways(&mut self, is_known: impl Fn(&id::Host) -> bool) {
        self.received.retain(|host, _| is_known(host));
    }
}
