//! What a gateway knows about the limits that servers announce.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::GrantId;
use crate::gateway::Server;
use crate::id;

use super::Announcement;
use super::Change;
use super::Key;
use super::Limit;
use super::Rate;
use super::Report;
use super::Reports;
use super::Update;

/// How many servers are remembered as having announced an invalid limit.
const MAX_INVALID_SERVERS: usize = 256;

/// How long the server list may take to show a new incarnation of a server. A limit received meanwhile under the
/// previous incarnation may come from the new one. Covers the lag of the platform's list and four fetches of a host
/// without a hub.
const MAX_LIST_LAG: Duration = Duration::from_secs(5);

/// For how many servers the incarnation seen last is remembered.
const MAX_LATEST_INCARNATIONS: usize = 4_096;

/// A report that the hub has not acknowledged, and when its response was received.
#[derive(Clone, Debug)]
struct Pending {
    report: Report,
    received: Instant,
}

/// What a gateway knows about the limits that servers announce: the hub's table, and what responses have said since.
///
/// A report is sent until the hub acknowledges it, and the limits of one hub are reported to the next. A slot at a
/// limited server whose limit the hub did not know of is not used ([`LocalReports::blocks`]). Only the hub lifts a
/// limit, because only the hub can tell which of the responses of all gateways is the newest.
#[derive(Clone, Debug, Default)]
pub struct LocalReports {
    incarnation: u64,
    /// The current hub and the version of its table.
    table_version: (u64, u64),
    table: BTreeMap<Key, Limit>,
    pending: BTreeMap<Key, Pending>,
    /// The rates that responses announced recently, and when.
    announced: BTreeMap<Key, (Rate, Instant)>,
    /// By service and name, the incarnation of each server seen last in a server list or with a slot.
    latest: BTreeMap<(id::Service, Arc<str>), Key>,
    /// The number of the last report.
    last_number: u64,
    /// Servers that have announced an invalid limit, which is returned only once.
    invalid: BTreeSet<Key>,
}

impl LocalReports {
    /// Creates an empty instance; `incarnation` is random for each process.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Records what the response to a request, sent at `sent` under the grant `grant_id`, said about its server's
    /// limit; returns it if it is new.
    pub fn record_response(
        &mut self,
        server: &Server,
        announcement: &Announcement,
        grant_id: GrantId,
        sent: Instant,
        now: Instant,
    ) -> Option<Announcement> {
        let key = Key::from_server(server);
        let known = self.get(&key);
        if let Announcement::Limited(rate) = announcement {
            self.announced
                .retain(|_, (_, at)| now.since(*at) < MAX_LIST_LAG);
            self.announced.insert(key.clone(), (*rate, now));
        }
        let rate = match announcement {
            Announcement::Limited(rate) => Some(*rate),
            Announcement::NoLimit if known.is_some() => None,
            Announcement::NoLimit => return None,
            Announcement::Invalid(_) => return self.add_invalid(key).then(|| announcement.clone()),
        };
        let report = Report {
            number: 0,
            key,
            rate,
            grant_id,
        };
        self.add_report(report, sent, now);
        if let Some(rate) = rate {
            self.limit_newer_incarnation(server, rate, now);
        }
        let is_new = rate.is_some() && known.map(|limit| limit.rate) != rate;
        is_new.then(|| announcement.clone())
    }

    /// Notes the incarnations of servers from a server list or a slot grant; returns the changed limits.
    ///
    /// A limit received recently under another incarnation of a server may have come from this one, so it applies
    /// to this one too until a response of its own says otherwise.
    pub fn observe_servers<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Server>,
        now: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for server in servers {
            let key = Key::from_server(server);
            if self.latest.len() >= MAX_LATEST_INCARNATIONS {
                self.latest.clear();
            }
            let name = (key.service.clone(), Arc::clone(&key.name));
            self.latest.insert(name, key.clone());
            let rate = self.recent_rate_of_others(&key, now);
            let Some(rate) = rate.filter(|_| self.get(&key).is_none()) else {
                continue;
            };
            self.report_limit(key.clone(), rate, now);
            let limit = self.get(&key);
            changes.push(Change { key, limit });
        }
        changes
    }

    /// Applies a limit to the newer incarnation of a server too, which may have answered a request to the older one.
    fn limit_newer_incarnation(&mut self, server: &Server, rate: Rate, now: Instant) {
        if let Some(key) = self.newer_incarnation(server) {
            self.report_limit(key, rate, now);
        }
    }

    /// The incarnation of a server that was seen last, if it is another one.
    fn newer_incarnation(&self, server: &Server) -> Option<Key> {
        let name = (server.service.clone(), Arc::clone(&server.name));
        let latest = self.latest.get(&name);
        let latest = latest.filter(|key| key.incarnation != server.incarnation);
        latest.cloned()
    }

    /// The lowest rate announced recently under other incarnations of a server.
    fn recent_rate_of_others(&self, key: &Key, now: Instant) -> Option<Rate> {
        let is_same_server = |other: &Key| other.service == key.service && other.name == key.name;
        let others = self
            .announced
            .iter()
            .filter(|(other, _)| is_same_server(other));
        let recent = others.filter(|(other, (_, at))| {
            other.incarnation != key.incarnation && now.since(*at) < MAX_LIST_LAG
        });
        let rates = recent.map(|(_, (rate, _))| *rate);
        rates.reduce(|a, b| if a < b { a } else { b })
    }

    /// Notes that a server has announced an invalid limit; returns whether it is the first time.
    fn add_invalid(&mut self, key: Key) -> bool {
        if self.invalid.len() >= MAX_INVALID_SERVERS {
            self.invalid.clear();
        }
        self.invalid.insert(key)
    }

    /// Adds a report of a limit of unknown age.
    fn report_limit(&mut self, key: Key, rate: Rate, now: Instant) {
        let report = Report {
            number: 0,
            key,
            rate: Some(rate),
            grant_id: GrantId::default(),
        };
        self.add_report(report, Instant::default(), now);
    }

    /// Adds a report to be sent, merged with a pending one about the same server.
    fn add_report(&mut self, mut report: Report, sent: Instant, now: Instant) {
        let pending = self.pending.get(&report.key);
        // If the two responses may have been given in either order, the lower rate applies.
        let unordered = pending.filter(|pending| sent < pending.received);
        if let Some(pending) = unordered {
            let pending = &pending.report;
            if pending.rate.is_some() || report.rate.is_some() {
                report.grant_id = GrantId::default();
            }
            report.rate = match (pending.rate, report.rate) {
                (Some(a), Some(b)) if a <= b => Some(a),
                (a, b) => b.or(a),
            };
        }
        self.last_number += 1;
        report.number = self.last_number;
        let pending = Pending {
            report,
            received: now,
        };
        self.pending.insert(pending.report.key.clone(), pending);
    }

    /// Returns the limit of a server, as far as this gateway knows.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<Limit> {
        let pending = self.pending.get(key);
        let pending_rate = pending.and_then(|pending| pending.report.rate);
        let in_table = self.table.get(key);
        let Some(rate) = pending_rate else {
            return in_table.cloned();
        };
        let lower_rate = in_table
            .map(|limit| limit.rate)
            .filter(|in_table| *in_table < rate);
        Some(Limit {
            rate: lower_rate.unwrap_or(rate),
            last_unaware_grant: u64::MAX,
            confirmed: false,
        })
    }

    /// Returns whether a request must not be sent with a slot that was granted without a token of its server's rate
    /// limit, because the hub did not know of the limit.
    #[must_use]
    pub fn blocks(&self, server: &Server, grant_id: GrantId) -> bool {
        let key = Key::from_server(server);
        // A newer incarnation may respond under the same name.
        let newer = self.newer_incarnation(server);
        let incarnations = newer.iter().chain([&key]);
        let mut limits = incarnations.filter_map(|key| self.get(key));
        // The same hub gave a later grant without a token only after it had learned that the limit was lifted.
        limits.any(|limit| {
            grant_id.hub_id != self.table_version.0 || grant_id.number <= limit.last_unaware_grant
        })
    }

    /// Returns the hub whose table is stored here, and the table's version.
    #[must_use]
    pub fn get_table_version(&self) -> (u64, u64) {
        self.table_version
    }

    /// Returns the reports that the hub has not acknowledged.
    #[must_use]
    pub fn pending_reports(&self) -> Reports {
        let reports = self.pending.values().map(|pending| pending.report.clone());
        Reports {
            incarnation: self.incarnation,
            reports: reports.collect(),
            rejections: Vec::new(),
            rejection_limits: Vec::new(),
        }
    }

    /// Returns the number of the last report.
    #[must_use]
    pub fn get_last_number(&self) -> u64 {
        self.last_number
    }

    /// Applies a reply of the hub `hub_id` that acknowledges all reports up to number `acknowledged` and may contain an
    /// update of its table; returns the limits that may have changed here.
    pub fn apply_reply(
        &mut self,
        hub_id: u64,
        acknowledged: u64,
        update: Option<&Update>,
        now: Instant,
    ) -> Vec<Change> {
        let is_other = hub_id != self.table_version.0;
        let previous = if is_other {
            std::mem::take(&mut self.table)
        } else {
            BTreeMap::new()
        };
        let mut changed = self.acknowledge(acknowledged);
        if is_other {
            self.report_to_new_hub(previous, now);
            self.table_version = (hub_id, 0);
        }
        if let Some(update) = update {
            changed.extend(self.apply_update(update));
        }
        let changed = changed.into_iter();
        let changed = changed.map(|key| Change {
            limit: self.get(&key),
            key,
        });
        changed.collect()
    }

    /// Drops the reports up to number `acknowledged`, which the hub has received; returns their servers.
    fn acknowledge(&mut self, acknowledged: u64) -> BTreeSet<Key> {
        let is_acknowledged =
            |_: &Key, pending: &mut Pending| pending.report.number <= acknowledged;
        let received: Vec<_> = self.pending.extract_if(.., is_acknowledged).collect();
        let mut changed = BTreeSet::new();
        for (key, Pending { report, .. }) in received {
            // Keeps the limit until the hub's update contains it.
            if let Some(rate) = report.rate {
                let limit = self.table.entry(key.clone());
                limit.or_insert(Limit {
                    rate,
                    last_unaware_grant: u64::MAX,
                    confirmed: false,
                });
            }
            changed.insert(key);
        }
        changed
    }

    /// Reports the limits of the previous hub to a new one, which does not know them.
    fn report_to_new_hub(&mut self, previous: BTreeMap<Key, Limit>, now: Instant) {
        // A response without a limit can only lift one that the hub knows of, and a new hub knows none.
        self.pending
            .retain(|_, pending| pending.report.rate.is_some());
        for (key, limit) in previous {
            self.report_limit(key, limit.rate, now);
        }
    }

    /// Applies an update of the hub's table; one that starts from another version than the stored one is ignored.
    fn apply_update(&mut self, update: &Update) -> BTreeSet<Key> {
        let mut changed = BTreeSet::new();
        match update.base_version {
            Some(base_version) if base_version != self.table_version.1 => return changed,
            Some(_) => {}
            None => changed.extend(std::mem::take(&mut self.table).into_keys()),
        }
        for change in &update.changes {
            changed.insert(change.key.clone());
            match &change.limit {
                Some(limit) => self.table.insert(change.key.clone(), limit.clone()),
                None => self.table.remove(&change.key),
            };
        }
        self.table_version.1 = update.version;
        changed
    }

    /// Returns all limits that this gateway knows.
    pub fn all_limits(&self) -> impl Iterator<Item = Change> {
        let keys: BTreeSet<_> = self.table.keys().chain(self.pending.keys()).collect();
        let limits = keys.into_iter().map(|key| Change {
            key: key.clone(),
            limit: self.get(key),
        });
        limits.filter(|change| change.limit.is_some())
    }

    /// Returns the last announced rate of a server, as far as this gateway knows.
    #[must_use]
    pub fn rate(&self, server: &Server) -> Option<Rate> {
        self.get(&Key::from_server(server)).map(|limit| limit.rate)
    }
}
