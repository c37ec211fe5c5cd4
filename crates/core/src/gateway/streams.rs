//! What the hub knows of streams that callers may resume at another gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;
use crate::rollout::Version;
use crate::stream::Change;
use crate::stream::Found;
use crate::stream::Key;
use crate::stream::Origin;
use crate::stream::Phase;
use crate::stream::Published;
use crate::stream::Record;
use crate::stream::SOLE_VERSION_LEASE;
use crate::stream::Step;
use crate::stream::Table;
use crate::stream::Versions;

use super::Hub;
use super::Poll;
use super::ServerList;

/// The most streams that the hub knows of.
const MAX_STREAMS: usize = 200_000;

/// The number of gateways that keep a copy of each record, besides the one where the stream began.
const COPIES: usize = 2;

/// The most copies in one reply to a poll.
const MAX_COPIES_PER_REPLY: usize = 64;

/// The most copies that wait for one gateway.
const MAX_WAITING_COPIES: usize = 1_024;

/// How long a version is announced before streams may begin there: until no gateway relies on its service having a single
/// version any more.
const ANNOUNCEMENT_TIME: Duration = SOLE_VERSION_LEASE.saturating_add(Duration::from_millis(500));

/// How long after its last server has left the list streams of a version may still be resumed.
const REMOVAL_DELAY: Duration = Duration::from_mins(10);

/// The time after which a step that was proposed and not committed is proposed again.
const REPROPOSE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a new hub expects records that it does not have yet: the gateways report them after its first reply.
const COLLECTION_TIME: Duration = Duration::from_secs(2);

/// How long a record may take to the hub. A caller has the first event before the hub has the record, and can take the
/// stream up at another gateway meanwhile.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// A question about a stream that a caller takes up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StreamQuery {
    /// The stream, if its caller names it.
    pub key: Option<Key>,
    /// The services at which the request may run.
    pub services: Vec<id::Service>,
}

/// What is known of a stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamAnswer {
    /// It began there.
    Begun(Origin),
    /// There is no record of it, and the service has had no other version.
    SoleVersion(Origin),
    /// Nobody can say at which version it began.
    Unknown {
        /// How long its record may take to arrive; zero if none can.
        arrives_within: Duration,
    },
}

/// A service and a version.
type ServiceVersion = (id::Service, Version);

/// A gateway that keeps copies of records.
#[derive(Clone, Debug)]
pub(super) struct Keeper {
    pub(super) host: id::Host,
    pub(super) hall: Arc<str>,
    /// Whether a control replica runs beside it.
    pub(super) has_replica: bool,
}

/// The streams that gateways have reported, and the versions at which streams may begin.
#[derive(Clone, Debug)]
pub(super) struct Streams {
    table: Table,
    /// The copies that wait for a gateway's next poll.
    copies: BTreeMap<id::Host, VecDeque<Record>>,
    /// The gateways that keep copies, without those beside a control replica.
    keepers: Vec<Keeper>,
    /// Those beside a control replica.
    beside_replicas: Vec<Keeper>,
    published: Published,
    /// The versions on the server list; none before there is a list.
    listed: Option<BTreeSet<ServiceVersion>>,
    /// Since when versions are announced, or have no server on the list.
    since: BTreeMap<ServiceVersion, Instant>,
    /// When steps were last proposed, until the versions change.
    proposed_at: Option<Instant>,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            table: Table::new(MAX_STREAMS),
            copies: BTreeMap::new(),
            keepers: Vec::new(),
            beside_replicas: Vec::new(),
            published: Published::default(),
            listed: None,
            since: BTreeMap::new(),
            proposed_at: None,
        }
    }
}

/// Passes through a group once, from a place that the key decides on.
fn rotated(group: &[Keeper], key: Key) -> impl Iterator<Item = &Keeper> {
    let count = group.len();
    let first = usize::try_from(key.as_u64() % count.max(1) as u64).unwrap_or(0);
    group.iter().cycle().skip(first).take(count)
}

impl Streams {
    /// Sets the gateways that keep copies, in the order of their hosts.
    pub(super) fn set_keepers(&mut self, keepers: Vec<Keeper>) {
        let keeps = |host: &id::Host| keepers.binary_search_by(|keeper| keeper.host.cmp(host));
        self.copies.retain(|host, _| keeps(host).is_ok());
        (self.beside_replicas, self.keepers) =
            keepers.into_iter().partition(|keeper| keeper.has_replica);
    }

    /// Sets the server list.
    pub(super) fn set_server_list(&mut self, server_list: &ServerList) {
        let servers = server_list.servers.iter();
        let listed = servers.map(|server| (server.service.clone(), server.version.clone()));
        self.listed = Some(listed.collect());
    }

    /// Records streams that a gateway in `hall` has reported, and passes copies on.
    fn record(&mut self, from: &id::Host, hall: &str, records: &[Record], now: Instant) {
        for record in records {
            if !self.table.record(record, now) {
                continue;
            }
            for keeper in self.choose_keepers(from, hall, record.key) {
                let waiting = self.copies.entry(keeper).or_default();
                waiting.push_back(record.clone());
                if waiting.len() > MAX_WAITING_COPIES {
                    waiting.pop_front();
                }
            }
        }
    }

    /// The gateways that keep copies of a stream that began at `from`, others for each stream.
    ///
    /// Those in the same data hall come after others, and those beside a control replica come last, as they fail together
    /// with the hub.
    fn choose_keepers(&self, from: &id::Host, hall: &str, key: Key) -> Vec<id::Host> {
        let groups = [(&self.keepers, false), (&self.keepers, true)];
        let groups = groups.into_iter().chain([
            (&self.beside_replicas, false),
            (&self.beside_replicas, true),
        ]);
        let candidates = groups.flat_map(|(group, is_same_hall)| {
            let others = rotated(group, key).filter(|keeper| keeper.host != *from);
            others.filter(move |keeper| (*keeper.hall == *hall) == is_same_hall)
        });
        let chosen = candidates.take(COPIES);
        chosen.map(|keeper| keeper.host.clone()).collect()
    }

    /// Takes the next copies for a gateway.
    pub(super) fn take_copies(&mut self, host: &id::Host) -> Vec<Record> {
        let Some(waiting) = self.copies.get_mut(host) else {
            return Vec::new();
        };
        let count = waiting.len().min(MAX_COPIES_PER_REPLY);
        waiting.drain(..count).collect()
    }

    /// Returns whether the gateway has other versions at which streams may begin.
    pub(super) fn has_versions_update(&self, poll: &Poll) -> bool {
        self.published.number != poll.stream_versions
    }

    /// Returns the versions at which streams may begin, if the gateway has others.
    pub(super) fn versions_update(&self, poll: &Poll) -> Option<Published> {
        self.has_versions_update(poll)
            .then(|| self.published.clone())
    }

    /// Returns the next steps for the versions on the server list.
    fn propose_steps(&mut self, now: Instant) -> Vec<Step> {
        let is_recent = |at: Instant| now.since(at) < REPROPOSE_INTERVAL;
        let Some(listed) = &self.listed else {
            return Vec::new();
        };
        if self.proposed_at.is_some_and(is_recent) {
            return Vec::new();
        }
        let versions = &self.published.versions;
        let unknown = listed.iter();
        let unknown =
            unknown.filter(|(service, version)| versions.phase(service, version).is_none());
        let step = |service: &id::Service, version: &Version, change| Step {
            service: service.clone(),
            version: version.clone(),
            change,
        };
        let added = unknown.map(|(service, version)| step(service, version, Change::Add));
        let mut steps: Vec<_> = added.collect();
        for (service, version, phase) in versions.iter() {
            let key = (service.clone(), version.clone());
            let is_listed = listed.contains(&key);
            if is_listed && phase == Phase::Open {
                self.since.remove(&key);
                continue;
            }
            let waited = now.since(*self.since.entry(key).or_insert(now));
            if is_listed && waited >= ANNOUNCEMENT_TIME {
                steps.push(step(service, version, Change::Open));
            } else if !is_listed && waited >= REMOVAL_DELAY {
                steps.push(step(service, version, Change::Remove));
            }
        }
        if !steps.is_empty() {
            self.proposed_at = Some(now);
        }
        steps
    }
}

/// # Streams
impl Hub {
    /// Records streams that a gateway has reported.
    pub fn record_streams(&mut self, from: &id::Host, records: &[Record], now: Instant) {
        let state = self.gateways.get(from);
        let hall = state.map_or("", |state| &*state.gateway.hall);
        self.streams.record(from, hall, records, now);
    }

    /// Returns what is known of a stream.
    ///
    /// That a service has a single version is true only if this hub leads, confirmed by a majority after the question
    /// was asked.
    #[must_use]
    pub fn find_stream(&self, query: &StreamQuery, now: Instant) -> StreamAnswer {
        let key = query.key;
        match key.and_then(|key| self.streams.table.find(key, now)) {
            Some(Found::Begun(origin)) if query.services.contains(&origin.service) => {
                return StreamAnswer::Begun(Origin::clone(&origin));
            }
            Some(_) => {
                return StreamAnswer::Unknown {
                    arrives_within: Duration::ZERO,
                };
            }
            None => {}
        }
        if let Some(origin) = self.streams.published.versions.sole_origin(&query.services) {
            return StreamAnswer::SoleVersion(origin);
        }
        let collected_in = COLLECTION_TIME.saturating_sub(now.since(self.started));
        StreamAnswer::Unknown {
            arrives_within: match key {
                Some(_) => collected_in.max(REPORT_DELAY),
                None => Duration::ZERO,
            },
        }
    }

    /// Applies the committed versions at which streams may begin.
    pub fn apply_stream_versions(&mut self, versions: &Versions) {
        self.streams.published = versions.publish();
        self.streams.proposed_at = None;
        let since = &mut self.streams.since;
        since.retain(|(service, version), _| versions.phase(service, version).is_some());
    }

    /// Returns the steps to commit so that streams may begin at the versions on the server list.
    pub fn propose_stream_versions(&mut self, now: Instant) -> Vec<Step> {
        self.streams.propose_steps(now)
    }

    /// Returns how many streams are known here.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.streams.table.len()
    }
}
