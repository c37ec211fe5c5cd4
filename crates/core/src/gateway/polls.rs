//! What the hub answers when gateways ask what is new.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::state::Publication;

use super::Hub;
use super::Poll;
use super::Reply;
use super::ServerList;
use super::Standbys;
use super::server_list;

/// How long a question waits for something new, for each gateway that asks.
///
/// It bounds the age of the sums over all gateways, and with it how many of them send to the same server unseen.
const WAIT_EACH: Duration = Duration::from_millis(3);

/// The least that a question waits: as long as a sending takes to show.
const WAIT_LEAST: Duration = Duration::from_millis(30);

/// The most that a question of some hundred gateways waits: the rest of a table's way must stay within its bound.
const WAIT_MOST: Duration = Duration::from_millis(250);

/// How long it waits for each of more gateways: 2,000 questions a second from all of them.
const WAIT_MANY: Duration = Duration::from_micros(500);

/// The largest packed table that goes along with an answer, in bytes; others are fetched in pieces.
const ALONG: usize = 4 << 10;

/// # Answers
impl Hub {
    /// The answer to a question that was heard; `publication` is the table in force.
    pub fn reply(&mut self, question: &Poll, publication: &Publication, now: Instant) -> Reply {
        self.update_subset(&question.host);
        let mut reply = self.small_reply(question, publication, now);
        let is_small = publication.document.as_packed().len() <= ALONG;
        let is_along = is_small && publication.number > question.known_table;
        reply.newest_table = publication.number;
        reply.table = is_along.then(|| publication.clone());
        let is_listed = self.has_list_update(question);
        reply.server_list = is_listed.then(|| self.server_list_update(question));
        reply.membership = self.rolls.news(question.membership_version);
        self.pace.finish(&question.host);
        reply
    }

    /// When it is the asker's turn to be told what is large; none where nothing of that is new to it.
    pub fn bulk_time(
        &mut self,
        question: &Poll,
        publication: &Publication,
        now: Instant,
    ) -> Option<Instant> {
        let is_table = publication.number > question.known_table;
        let is_large = is_table
            || self.has_list_update(question)
            || self.rolls.is_unknown(question.membership_version);
        is_large.then(|| self.pace.reserve(&question.host, now))
    }

    /// The answer without what is large: lists, rolls, tables.
    pub fn small_reply(
        &mut self,
        question: &Poll,
        publication: &Publication,
        now: Instant,
    ) -> Reply {
        self.scan_gateways(now);
        self.answers = self.answers.wrapping_add(1);
        let retry_share = self.keeper.on_reply(&question.host, self.answers, now);
        let admission_share = self.admission_share(question, now);
        let incarnations = self.seen.get(&question.host);
        let incarnations = incarnations.map_or(&[][..], |seen| &seen.subset.incarnations);
        Reply {
            number: self.answers,
            hub_id: self.dispatcher.get_hub(),
            quarantine: self.quarantine.update_since(question.quarantine_version),
            limits: self.limits.update_since(question.limits_version),
            retry_share,
            admission_share,
            standbys: self.standbys_update(question),
            newest_table: publication.number.min(question.known_table),
            poll_timeout: self.poll_timeout(question),
            server_list_version: self.listing.version,
            policy: self.policy_update(question),
            other_loads: self.dispatcher.others(&question.host, incarnations),
            ..Reply::default()
        }
    }

    /// How long a question waits for something new.
    ///
    /// Load pattern: a thousand gateways, of which each has a request in two seconds. What they ask takes half of a
    /// leader's core by itself where each asks four times a second. Those whose parts the hub sets aside when they are
    /// silent, and those beside a replica, ask as often as in a small deployment.
    #[must_use]
    pub fn poll_timeout(&self, question: &Poll) -> Duration {
        let count = self.gateway_count();
        let wait = (WAIT_EACH * count).clamp(WAIT_LEAST, WAIT_MOST);
        if question.wants_whole_list || self.holders.hosts.contains(&question.host) {
            return wait;
        }
        wait.max(WAIT_MANY * count)
    }

    /// What a gateway is told of the list.
    fn server_list_update(&self, question: &Poll) -> server_list::Update {
        if question.wants_whole_list {
            return server_list::Update::Whole(ServerList::clone(&self.listing));
        }
        let seen = self.seen.get(&question.host);
        let change = seen.and_then(|seen| {
            seen.subset
                .change(&self.listing, question.server_list_version)
        });
        change.map_or_else(
            || server_list::Update::Whole(self.subsets.cut(&self.listing, &question.host)),
            server_list::Update::Change,
        )
    }

    /// Whether there is something that the asker does not hold yet, worth an answer at once.
    #[must_use]
    pub fn has_update(&mut self, question: &Poll) -> bool {
        if self.listing.version == 0 {
            return false;
        }
        let has_other_policy = self.has_policy_update(question);
        let is_other = self.quarantine.get_version() != question.quarantine_version;
        let is_limited = self.limits.is_outdated(question.limits_version);
        has_other_policy || is_other || is_limited || self.has_list_update(question)
    }

    /// Whether the asker is to be told another list than it holds.
    ///
    /// A list that concerns it is worked out for it when it is told: for all gateways at the same moment that would keep
    /// a leader from its heartbeats.
    fn has_list_update(&mut self, question: &Poll) -> bool {
        let version = self.listing.version;
        let host = &question.host;
        let Some(seen) = self.seen.get_mut(host).filter(|_| version != 0) else {
            return false;
        };
        if question.wants_whole_list {
            return version != question.server_list_version;
        }
        let is_current = seen.subset.is_current(&self.listing, &self.delta, host);
        !is_current || seen.subset.version != question.server_list_version
    }

    /// Brings what is known of a gateway's subset up to the list.
    fn update_subset(&mut self, host: &id::Host) {
        if let Some(seen) = self.seen.get_mut(host) {
            let subset = &mut seen.subset;
            subset.follow(&self.listing, &self.subsets, &self.delta, host);
        }
    }

    /// The part of what is let in without the hub's word that the asker holds.
    ///
    /// Where not all gateways can be deputies, those beside a replica are none: they go with it.
    fn admission_share(&mut self, question: &Poll, now: Instant) -> f64 {
        if question.wants_whole_list && !self.all_can_be_standbys() {
            return 0.0;
        }
        self.deputies.on_reply(&question.host, self.answers, now)
    }

    /// The deputies, where the asker knows others.
    fn standbys_update(&self, question: &Poll) -> Option<Standbys> {
        (self.holders.version != question.standbys_version).then(|| self.holders.clone())
    }

    /// After how long a gateway counts as silent: more than two of the waits between its questions.
    pub(super) fn gateway_timeout(&self) -> Duration {
        let waits = WAIT_MANY * self.gateway_count() * 2 + WAIT_LEAST;
        self.tuning.gateway_timeout.max(waits)
    }
}
