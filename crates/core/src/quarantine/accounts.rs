//! The accounts of all parts of prompts under which servers crashed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Instant;
use crate::id;
use crate::rollout::Version;

use super::Features;
use super::Part;
use super::PartCase;
use super::Rejection;
use super::Software;
use super::account::Account;
use super::account::Charge;
use super::list::MAX_CASES;
use super::list::MAX_CASES_PER_CUSTOMER;

/// How many accounts are kept, at some 500 bytes each. When there are more, the customer with the most loses one.
const MAX_ACCOUNTS: usize = 4_096;

/// How many accounts of one customer are kept: the parts of a longest prompt.
const MAX_ACCOUNTS_PER_CUSTOMER: usize = super::MAX_PARTS;

/// Whether a request may be sent, as far as the parts of its prompt are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// No part is quarantined.
    Clear,
    /// Some are, and only servers of these versions answer requests with them.
    Versions(Arc<[Version]>),
    /// Some are, and it may be sent as a trial of these.
    Trial(Vec<Part>),
    /// It may not be sent.
    Rejected(Rejection),
}

/// The accounts of all parts of prompts under which servers crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    accounts: BTreeMap<Part, Account>,
    /// How many accounts each customer has, by the first request that was charged.
    counts: BTreeMap<Option<id::Customer>, usize>,
}

impl Accounts {
    /// Charges the parts of a request that may have crashed a server. Returns whether one of them is quarantined by that.
    pub(super) fn charge(
        &mut self,
        features: &Features,
        server: &Arc<str>,
        charge: &Charge,
        now: Instant,
    ) -> bool {
        // Known parts first: those of a long prompt must not push out the one that crashes servers.
        let (known, new): (Vec<Part>, Vec<_>) = features
            .parts
            .iter()
            .partition(|part| self.accounts.contains_key(part));
        let customer = features.identity.customer.as_ref();
        let mut is_quarantined = false;
        for part in known.into_iter().chain(new) {
            self.make_room(part, customer);
            let account = self.open(part, customer, now);
            let was_quarantined = account.is_quarantined();
            account.charge(server, charge.clone(), customer, now);
            is_quarantined |= !was_quarantined && account.is_quarantined();
        }
        is_quarantined
    }

    /// Records that requests with these parts were answered; returns whether there is an account of one of them.
    pub(super) fn answer(&mut self, parts: &[Part], software: &Software, began: Instant) -> bool {
        let mut is_known = false;
        for part in parts {
            if let Some(account) = self.accounts.get_mut(part) {
                is_known = true;
                account.answer(software, began);
                if account.charges.is_empty() {
                    self.close(*part);
                }
            }
        }
        is_known
    }

    /// Decides whether a request for `service` may be sent.
    pub(super) fn judge(
        &mut self,
        features: &Features,
        service: &id::Service,
        now: Instant,
    ) -> Verdict {
        let suspects = self.suspects(features);
        if suspects.is_empty() {
            return Verdict::Clear;
        }
        for part in &suspects {
            if let Some(account) = self.accounts.get_mut(part) {
                account.last_requested = now;
            }
        }
        let versions = self.sound_versions(&suspects, service);
        if !versions.is_empty() {
            return Verdict::Versions(versions.into_iter().collect());
        }
        self.judge_trial(features, suspects, now)
    }

    fn suspects(&self, features: &Features) -> Vec<Part> {
        let is_suspect = |part: &&Part| {
            let account = self.accounts.get(part);
            account.is_some_and(Account::is_quarantined)
        };
        features.parts.iter().filter(is_suspect).copied().collect()
    }

    /// The versions of `service` that answer requests with all of `suspects`.
    fn sound_versions(&self, suspects: &[Part], service: &id::Service) -> BTreeSet<Version> {
        let mut common: Option<BTreeSet<Version>> = None;
        for account in suspects.iter().filter_map(|part| self.accounts.get(part)) {
            let sound = account.sound_software().into_iter();
            let sound = sound.filter(|software| software.service == *service);
            let versions: BTreeSet<_> = sound.map(|software| software.version).collect();
            common = Some(match common {
                Some(common) => common.intersection(&versions).cloned().collect(),
                None => versions,
            });
        }
        common.unwrap_or_default()
    }

    /// Decides whether a request with the quarantined parts `suspects` may be sent as a trial.
    fn judge_trial(&mut self, features: &Features, suspects: Vec<Part>, now: Instant) -> Verdict {
        let customer = features.identity.customer.as_ref();
        let mut is_ready = true;
        let mut is_committed = true;
        for part in &suspects {
            let has_other_cause = self.has_other_cause(*part, features);
            let Some(account) = self.accounts.get_mut(part) else {
                continue;
            };
            if !account.is_worth_trial(customer, has_other_cause, now) {
                return Verdict::Rejected(Rejection::PartQuarantined);
            }
            is_ready &= account.is_ready_for_trial(has_other_cause, now);
            is_committed &= account.is_trial_committed();
        }
        if !is_ready {
            return Verdict::Rejected(Rejection::PartInTrial);
        }
        if !is_committed {
            for part in &suspects {
                if let Some(account) = self.accounts.get_mut(part) {
                    account.wants_trial = true;
                }
            }
            return Verdict::Rejected(Rejection::PartInTrial);
        }
        Verdict::Trial(suspects)
    }

    /// Whether a part that a request does not have explains the crashes under `part`.
    fn has_other_cause(&self, part: Part, features: &Features) -> bool {
        let Some(account) = self.accounts.get(&part) else {
            return false;
        };
        let others = self.accounts.iter();
        let mut others = others.filter(|(other, _)| !features.parts.contains(other));
        others.any(|(_, other)| account.is_explained_by(other))
    }

    /// Begins a trial of `parts` with the permit `number`.
    pub(super) fn begin_trial(
        &mut self,
        parts: &[Part],
        number: u64,
        expires: Instant,
        now: Instant,
    ) {
        for part in parts {
            if let Some(account) = self.accounts.get_mut(part) {
                account.begin_trial(number, expires, now);
            }
        }
    }

    /// Ends the trial with the permit `number`. If the request was not sent, the trial does not count.
    pub(super) fn end_trial(&mut self, features: &Features, number: u64, was_sent: bool) {
        for part in &*features.parts {
            if let Some(account) = self.accounts.get_mut(part) {
                if was_sent {
                    account.end_trial(number);
                } else {
                    account.return_trial(number);
                }
            }
        }
    }

    /// How many servers crashed under requests with a part, as far as no later answer refutes it.
    pub(super) fn crash_count(&self, part: Part) -> usize {
        let account = self.accounts.get(&part);
        account.map_or(0, |account| account.charges.len())
    }

    /// Whether a quarantined part explains the crash of a server of `version`: servers of other versions crashed under it
    /// as well.
    pub(super) fn explains(&self, server: &str, version: &Version) -> bool {
        self.accounts.values().any(|account| {
            let mut charges = account.charges.values();
            account.is_quarantined()
                && account.charges.contains_key(server)
                && charges.any(|charge| charge.software.version != *version)
        })
    }

    /// Adds what another hub has committed.
    pub(super) fn merge(&mut self, case: &PartCase, now: Instant) {
        self.make_room(case.part, case.owner.as_ref());
        let account = self.open(case.part, case.owner.as_ref(), now);
        account.merge(case, now);
    }

    /// Notes how many trials of a part the log allows.
    pub(super) fn set_committed_trials(&mut self, part: Part, trials: u32) {
        if let Some(account) = self.accounts.get_mut(&part) {
            account.set_committed_trials(trials);
        }
    }

    /// Removes the account of a part.
    pub(super) fn close(&mut self, part: Part) {
        let Some(account) = self.accounts.remove(&part) else {
            return;
        };
        if let Some(count) = self.counts.get_mut(&account.owner) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&account.owner);
            }
        }
    }

    /// Removes the accounts that have expired; returns whether there were any.
    pub(super) fn close_expired(&mut self, now: Instant) -> bool {
        let accounts = self.accounts.iter();
        let expired = accounts.filter(|(_, account)| account.is_expired(now));
        let expired: Vec<_> = expired.map(|(part, _)| *part).collect();
        for part in &expired {
            self.close(*part);
        }
        !expired.is_empty()
    }

    /// The cases of the parts with at least `min_crashes`, as they are to be committed: of those for which the list has
    /// room, the ones with the most crashes, and of these the last ones.
    pub(super) fn to_cases(&self, min_crashes: usize) -> BTreeMap<Part, PartCase> {
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|(_, account)| account.charges.len() >= min_crashes);
        let mut accounts: Vec<_> = accounts.collect();
        accounts.sort_by_key(|(_, account)| Reverse((account.charges.len(), account.last_crash)));
        let mut counts: BTreeMap<_, usize> = BTreeMap::new();
        accounts.retain(|(_, account)| {
            let count = counts.entry(&account.owner).or_default();
            *count += 1;
            *count <= MAX_CASES_PER_CUSTOMER
        });
        let cases = accounts.into_iter().take(MAX_CASES);
        cases
            .map(|(part, account)| (*part, account.to_case(*part)))
            .collect()
    }

    fn open(&mut self, part: Part, customer: Option<&id::Customer>, now: Instant) -> &mut Account {
        self.accounts.entry(part).or_insert_with(|| {
            let owner = customer.cloned();
            *self.counts.entry(owner.clone()).or_default() += 1;
            Account::new(owner, now)
        })
    }

    /// Removes an account if there is no room for one of `part`: of the customer itself if it has too many, or else of the
    /// customer with the most. It is the one with the fewest crashes, and of these the oldest.
    fn make_room(&mut self, part: Part, customer: Option<&id::Customer>) {
        if self.accounts.contains_key(&part) {
            return;
        }
        let customer = customer.cloned();
        let own = self.counts.get(&customer).copied().unwrap_or(0);
        let crowded = if own >= MAX_ACCOUNTS_PER_CUSTOMER {
            Some(customer)
        } else if self.accounts.len() >= MAX_ACCOUNTS {
            let most = self.counts.iter().max_by_key(|(_, count)| **count);
            most.map(|(customer, _)| customer.clone())
        } else {
            None
        };
        let Some(crowded) = crowded else {
            return;
        };
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|(_, account)| account.owner == crowded);
        let least =
            accounts.min_by_key(|(_, account)| (account.charges.len(), account.last_requested));
        if let Some(least) = least.map(|(part, _)| *part) {
            self.close(least);
        }
    }
}
