//! Which gateways hold a share of what all of them may admit or retry without the hub.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id::Host;
use crate::quota;

use super::SlotShare;
use super::content_hash::content_hash;
use super::local_slots::SLOT_RESERVE_DELAY;

/// Minimum time between two changes of the shares, and before a leader's first one. Each change is
/// an entry of the log, and after a start of all hosts, the gateways appear within about 300 ms.
const MIN_SHARES_CHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// Number of holders per spare share. A spare share lets a new gateway hold one at once, without
/// waiting until all others know that the shares have become smaller.
const HOLDERS_PER_SPARE_SHARE: u32 = 8;

/// The number of shares into which the retries or admissions of gateways without the hub are
/// divided, and who holds one. Both are stored in the log.
///
/// The shares in use never add up to more than the whole, although a host may use a reply for as
/// long as [`quota::SHARE_LIFETIME`]: a holder is added only once all holders have received a reply that
/// reflects a sufficient number of shares, and removed only once it has had no reply for that long.
/// A new leader counts this time from its own start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// The number of shares.
    pub count: u32,
    /// The hosts that hold a share.
    pub holders: BTreeSet<Host>,
    /// The numbers of the holders' shares, each less than the count. A holder keeps its number.
    #[serde(default)]
    pub numbers: BTreeMap<Host, u32>,
    /// A smaller number of shares that holders may still go by, as they may not have received a reply since it grew; 0 if
    /// all have.
    #[serde(default)]
    pub former_count: u32,
}

impl Shares {
    /// Returns the share of `host`, from 0 to 1.
    #[must_use]
    pub fn share_of(&self, host: &Host) -> f64 {
        if self.holders.contains(host) {
            self.fraction(1)
        } else {
            0.0
        }
    }

    /// Returns the numbered share of `host`.
    #[must_use]
    pub fn slot_share_of(&self, host: &Host) -> Option<SlotShare> {
        let number = *self.numbers.get(host)?;
        let count = self.count;
        Some(SlotShare { number, count })
    }

    /// Returns the same shares with a number for each holder and for nobody else: the former one, or the lowest that is
    /// free, or the highest if `is_last` holds for the host.
    fn renumbered(mut self, former: &BTreeMap<Host, u32>, is_last: impl Fn(&Host) -> bool) -> Self {
        let kept = former.iter();
        let kept = kept.filter(|(host, _)| self.holders.contains(*host));
        self.numbers = kept.map(|(host, number)| (host.clone(), *number)).collect();
        let taken: BTreeSet<_> = self.numbers.values().copied().collect();
        let mut free = (0..self.count).filter(|number| !taken.contains(number));
        for host in &self.holders {
            if self.numbers.contains_key(host) {
                continue;
            }
            let number = if is_last(host) {
                free.next_back()
            } else {
                free.next()
            };
            self.numbers
                .extend(number.map(|number| (host.clone(), number)));
        }
        self
    }

    /// Returns the fraction that `shares` shares make up, from 0 to 1.
    #[must_use]
    pub fn fraction(&self, shares: usize) -> f64 {
        let shares = u32::try_from(shares).unwrap_or(u32::MAX);
        f64::from(shares.min(self.count)) / f64::from(self.count.max(1))
    }
}

/// A gateway's share as a reply announces it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayShare {
    /// The share, from 0 to 1.
    pub fraction: f64,
    /// Whether no process has used any of this share: none has held it, or those that did gave it up unused.
    pub never_held: bool,
}

/// What may be missing of a share that was added up from fractions, because of rounding.
const ROUNDING: f64 = 1e-9;

/// The replies sent to a gateway and the one it has acknowledged.
#[derive(Clone, Copy, Debug)]
struct GatewayReplies {
    /// The number of the last reply, and when it was sent.
    last_reply: (u64, Instant),
    /// Whether the gateway has acknowledged the last reply.
    is_acknowledged: bool,
    /// When the newest reply that the gateway has acknowledged was sent.
    acknowledged_at: Option<Instant>,
}

/// Allocates the shares to gateways on behalf of the leader.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    started: Instant,
    shares: Shares,
    /// Since when the number of shares has not been smaller than now.
    grown_at: Instant,
    /// The change that is being committed to the log.
    proposed: Option<Shares>,
    /// When the last change was proposed.
    changed_at: Instant,
    replies: BTreeMap<Host, GatewayReplies>,
    /// The part of the whole that nobody holds and no process has used, from 0 to 1.
    unused: f64,
    /// The holders of unused shares, and the process of each that was told so; the random number of a process is 0 if it
    /// is not known.
    never_held: BTreeMap<Host, Option<u64>>,
    /// The last result of [`ShareAllocator::hub_share`], and until when it is valid.
    hub_share: Option<(f64, Instant)>,
    /// The last result of [`ShareAllocator::reserved_shares`], and until when it is valid.
    reserved: Option<ReservedShares>,
    /// Whether the shares have numbers, which only shares of slots need.
    is_numbered: bool,
}

/// The holders whose shares are reserved, and until when that is known.
type ReservedShares = (Arc<[(Host, SlotShare)]>, Instant);

impl ShareAllocator {
    /// Creates the allocator of a leader that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            shares: Shares::default(),
            grown_at: now,
            proposed: None,
            changed_at: now,
            replies: BTreeMap::new(),
            unused: 0.0,
            never_held: BTreeMap::new(),
            hub_share: None,
            reserved: None,
            is_numbered: false,
        }
    }

    /// Sets whether the shares have numbers.
    pub fn set_numbered(&mut self, is_numbered: bool) {
        self.is_numbered = is_numbered;
    }

    /// Applies the shares that are committed to the log.
    pub fn apply(&mut self, shares: &Shares, now: Instant) {
        if *shares == self.shares {
            return;
        }
        if shares.count > self.shares.count {
            self.grown_at = now;
        }
        self.assign_unused(shares);
        self.shares = shares.clone();
        self.proposed = None;
        self.hub_share = None;
        self.reserved = None;
    }

    /// Determines which new holders of `next` get an unused share, and what is left unused.
    fn assign_unused(&mut self, next: &Shares) {
        // What was not proposed here may have been held and used under another leader.
        if self.proposed.as_ref() != Some(next) {
            self.unused = 0.0;
            self.never_held.clear();
            return;
        }
        if self.shares.count == 0 {
            self.unused = 1.0;
        }
        self.never_held
            .retain(|host, _| next.holders.contains(host));
        for host in next.holders.difference(&self.shares.holders) {
            if self.unused + ROUNDING >= next.fraction(1) {
                self.unused -= next.fraction(1);
                self.never_held.insert(host.clone(), None);
            }
        }
        let free = 1.0 - next.fraction(next.holders.len());
        self.unused = self.unused.clamp(0.0, free.max(0.0));
    }

    /// Records a gateway's poll, which acknowledges the reply `last_reply` and states which part of the whole the
    /// gateway gave up with that reply without having used it.
    pub fn on_poll(&mut self, host: &Host, last_reply: u64, given_up_unused: f64, now: Instant) {
        if let Some(replies) = self.replies.get_mut(host)
            && replies.last_reply.0 == last_reply
        {
            if !replies.is_acknowledged && given_up_unused > 0.0 {
                self.unused += given_up_unused;
            }
            replies.is_acknowledged = true;
            let was_reserved = replies
                .acknowledged_at
                .is_none_or(|acknowledged| acknowledged + SLOT_RESERVE_DELAY <= now);
            if was_reserved {
                self.reserved = None;
            }
            let was_set_aside = replies
                .acknowledged_at
                .is_none_or(|acknowledged| acknowledged + quota::SHARE_RESERVE_DELAY <= now);
            replies.acknowledged_at = Some(replies.last_reply.1);
            if was_set_aside {
                self.hub_share = None;
            }
        }
    }

    /// Records that the reply `number` is sent to a gateway whose process has the random number `process`, and returns
    /// the gateway's share.
    pub fn on_reply(
        &mut self,
        host: &Host,
        process: u64,
        number: u64,
        now: Instant,
    ) -> GatewayShare {
        let acknowledged_at = self.acknowledged_at(host);
        let last_reply = (number, now);
        self.replies.insert(
            host.clone(),
            GatewayReplies {
                last_reply,
                is_acknowledged: false,
                acknowledged_at,
            },
        );
        let stays = |next: &Shares| next.holders.contains(host);
        let fraction = if self.proposed.as_ref().is_none_or(stays) {
            self.shares.share_of(host)
        } else {
            0.0
        };
        GatewayShare {
            fraction,
            never_held: fraction > 0.0 && self.is_first_holder(host, process),
        }
    }

    /// Returns whether a process is the only one that is told that nobody has used its share. It is told with each
    /// reply, as replies are lost; a later process on the same host is not, as this one may have used the share.
    fn is_first_holder(&mut self, host: &Host, process: u64) -> bool {
        let Some(told) = self.never_held.get_mut(host) else {
            return false;
        };
        let is_first = told.is_none();
        let first = told.get_or_insert(process);
        is_first || (*first == process && process != 0)
    }

    /// Returns the hub's share, 0 to 1, of the quotas. It excludes the shares of holders that have
    /// acknowledged no reply for [`quota::SHARE_RESERVE_DELAY`].
    ///
    /// It is called for each request and computed again only when it can have changed, as this
    /// takes time linear in the number of holders.
    pub fn hub_share(&mut self, now: Instant) -> f64 {
        if let Some((fraction, valid_until)) = self.hub_share
            && now < valid_until
        {
            return fraction;
        }
        let acknowledged = self
            .shares
            .holders
            .iter()
            .filter_map(|host| self.acknowledged_at(host));
        let expiries = acknowledged
            .map(|acknowledged| acknowledged + quota::SHARE_RESERVE_DELAY)
            .filter(|expiry| now < *expiry);
        let (count, valid_until) = expiries.fold(
            (0, now + quota::SHARE_RESERVE_DELAY),
            |(count, valid_until), expiry| (count + 1, valid_until.min(expiry)),
        );
        let fraction = 1.0 - self.shares.fraction(self.shares.holders.len() - count);
        self.hub_share = Some((fraction, valid_until));
        fraction
    }

    /// Returns whether a holder has acknowledged no reply of this leader yet.
    #[must_use]
    pub fn awaits_first_reply(&self) -> bool {
        let mut holders = self.shares.holders.iter();
        holders.any(|host| self.acknowledged_at(host).is_none())
    }

    /// Returns the numbered share of a gateway, unless the gateway is about to lose it.
    #[must_use]
    pub fn slot_share(&self, host: &Host) -> Option<SlotShare> {
        let stays = |next: &Shares| next.holders.contains(host);
        let stays = self.proposed.as_ref().is_none_or(stays);
        self.shares.slot_share_of(host).filter(|_| stays)
    }

    /// Returns the first `max` of the holders for which `is_wanted` holds, in the order of their numbers.
    pub fn first_holders(&self, max: usize, is_wanted: impl Fn(&Host) -> bool) -> Vec<Host> {
        let numbers = self.shares.numbers.iter();
        let mut wanted: Vec<_> = numbers.filter(|(host, _)| is_wanted(host)).collect();
        wanted.sort_by_key(|(_, number)| **number);
        let first = wanted.into_iter().take(max);
        first.map(|(host, _)| host.clone()).collect()
    }

    /// Returns whether a host holds a share.
    #[must_use]
    pub fn is_holder(&self, host: &Host) -> bool {
        self.shares.holders.contains(host)
    }

    /// Returns the numbered shares that gateways may be using: those of holders that have acknowledged no reply for
    /// [`SLOT_RESERVE_DELAY`].
    ///
    /// As with [`ShareAllocator::hub_share`], the result is kept for as long as it can't have changed.
    pub fn reserved_shares(&mut self, now: Instant) -> Arc<[(Host, SlotShare)]> {
        if let Some((reserved, valid_until)) = &self.reserved
            && now < *valid_until
        {
            return Arc::clone(reserved);
        }
        let mut valid_until = now + SLOT_RESERVE_DELAY;
        let mut reserved = Vec::new();
        for host in &self.shares.holders {
            let acknowledged_at = self.acknowledged_at(host);
            let expiry = acknowledged_at.map(|acknowledged| acknowledged + SLOT_RESERVE_DELAY);
            match (expiry, self.largest_slot_share(host)) {
                (Some(expiry), _) if now < expiry => valid_until = valid_until.min(expiry),
                (_, Some(share)) => reserved.push((host.clone(), share)),
                _ => {}
            }
        }
        let reserved: Arc<[_]> = reserved.into();
        self.reserved = Some((Arc::clone(&reserved), valid_until));
        reserved
    }

    /// Returns whether `host` has acknowledged a reply that reflects the number of shares.
    fn knows_count(&self, host: &Host) -> bool {
        self.acknowledged_at(host)
            .is_some_and(|acknowledged| acknowledged >= self.grown_at)
    }

    /// Returns the largest share that `host` may go by.
    fn largest_slot_share(&self, host: &Host) -> Option<SlotShare> {
        let share = self.shares.slot_share_of(host)?;
        let count = match self.shares.former_count {
            former if former > 0 && !self.knows_count(host) => former,
            _ => share.count,
        };
        Some(SlotShare { count, ..share })
    }

    /// Returns when the newest reply that `host` has acknowledged was sent.
    fn acknowledged_at(&self, host: &Host) -> Option<Instant> {
        self.replies
            .get(host)
            .and_then(|replies| replies.acknowledged_at)
    }

    /// Returns the shares to commit if they should change. No holder is added if there are
    /// `max_holders` or more. Of new holders, those for which `is_last` holds get the highest numbers.
    pub fn propose(
        &mut self,
        max_holders: usize,
        is_last: impl Fn(&Host) -> bool,
        now: Instant,
    ) -> Option<Shares> {
        if now.since(self.changed_at) < MIN_SHARES_CHANGE_INTERVAL || self.proposed.is_some() {
            return None;
        }
        let holders = &self.shares.holders;
        self.replies.retain(|host, replies| {
            holders.contains(host) || now.since(replies.last_reply.1) < quota::SHARE_LIFETIME
        });
        let next = self.next_shares(max_holders, now);
        let next = if self.is_numbered {
            next.renumbered(&self.shares.numbers, is_last)
        } else {
            Shares {
                former_count: 0,
                ..next
            }
        };
        if next == self.shares {
            return None;
        }
        self.changed_at = now;
        self.proposed = Some(next.clone());
        Some(next)
    }

    fn next_shares(&self, max_holders: usize, now: Instant) -> Shares {
        let may_use_share = |host: &Host| {
            let last_reply_at = self
                .replies
                .get(host)
                .map_or(self.started, |replies| replies.last_reply.1);
            now.since(last_reply_at) < quota::SHARE_LIFETIME
        };
        let holders = self
            .shares
            .holders
            .iter()
            .filter(|host| may_use_share(host));
        let mut holders: BTreeSet<_> = holders.cloned().collect();
        let is_new = |host: &&Host| !holders.contains(*host) && may_use_share(host);
        let new_holders = self.replies.keys().filter(is_new).cloned();
        let new_holders = select(
            new_holders.collect(),
            max_holders.saturating_sub(holders.len()),
        );
        let needed = u32::try_from(holders.len() + new_holders.len()).unwrap_or(u32::MAX);
        if needed > self.shares.count {
            let count = needed + needed / HOLDERS_PER_SPARE_SHARE;
            // Without holders, nobody uses a larger share.
            let holders = if holders.is_empty() {
                new_holders
            } else {
                holders
            };
            return Shares {
                count,
                former_count: self.former_count(&holders),
                holders,
                ..Shares::default()
            };
        }
        let mut former_count = self.shares.former_count;
        if holders.iter().all(|host| self.knows_count(host)) {
            holders.extend(new_holders);
            former_count = 0;
        }
        Shares {
            count: self.shares.count,
            former_count,
            holders,
            ..Shares::default()
        }
    }

    /// Returns the smallest number of shares that `holders` may go by when the number grows now.
    fn former_count(&self, holders: &BTreeSet<Host>) -> u32 {
        match self.shares.former_count {
            _ if holders.is_empty() => 0,
            0 => self.shares.count,
            former => former,
        }
    }
}

/// Selects up to `max_holders` of the new hosts by hash, as hosts with adjacent names tend to fail
/// together.
fn select(mut new_holders: Vec<Host>, max_holders: usize) -> BTreeSet<Host> {
    new_holders.sort_by_key(|host| content_hash(&host.as_str()));
    new_holders.truncate(max_holders);
    new_holders.into_iter().collect()
}
