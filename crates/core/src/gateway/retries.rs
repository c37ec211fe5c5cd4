//! The retries that the hub grants.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;
use crate::pool::GATEWAYS_MIN_RETRIES_FRACTION;
use crate::pool::RetryAllowance;

/// Fraction of [`RetryAllowance::min_retries`] that hubs grant in a window: what gateways do not hold.
const HUB_MIN_RETRIES_FRACTION: f64 = 1.0 - GATEWAYS_MIN_RETRIES_FRACTION;

/// Into how many blocks the retries that hubs grant are divided. Each change of the blocks is an entry of the log.
const MAX_BLOCKS: u32 = 16;

/// How many blocks a hub draws ahead, so that a retry does not wait for the log.
const SPARE_BLOCKS: u32 = 2;

/// How long after it has asked for a slot a gateway may use the retry that the grant includes.
pub const RETRY_GRANT_LIFETIME: Duration = Duration::from_secs(2);

/// How many blocks of retries hubs have drawn for each service; stored in the log.
///
/// A hub grants retries only of blocks that it has drawn, so the next one knows how many may have been granted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryBlocks(BTreeMap<id::Service, u32>);

impl RetryBlocks {
    fn get(&self, service: &id::Service) -> u32 {
        self.0.get(service).copied().unwrap_or_default()
    }
}

/// A retry that the hub has granted, or reserved for a queued request.
#[derive(Clone, Debug)]
pub(super) struct GrantedRetry {
    service: id::Service,
    acquired_at: Instant,
    /// How many retries the hub had left afterwards.
    pub(super) left: u32,
}

/// The retries that the hub grants, by service.
///
/// Load pattern: a thousand gateways, and a service whose attempts often fail. A thousandth of the minimum number of
/// retries is less than one, and what a gateway's own requests earn does not cover the next failure. A gateway acquires
/// the missing retry here together with the slot.
///
/// A retry counts until one window after the last moment at which the gateway may use it, and a block as long as one of
/// its retries does. Blocks that former hubs have drawn count that long from the start of this one.
#[derive(Clone, Debug)]
pub(super) struct Retries {
    allowance: Option<RetryAllowance>,
    committed: RetryBlocks,
    /// The change that is being committed to the log.
    proposed: Option<RetryBlocks>,
    /// Whether this hub has proposed a change, so that all later ones are its own.
    has_proposed: bool,
    /// What former hubs have drawn, and until when it counts.
    inherited: (RetryBlocks, Instant),
    /// When the retries that still count were acquired.
    acquired: BTreeMap<id::Service, Vec<Instant>>,
}

impl Retries {
    /// Creates the budget of a hub that starts at `started`. It grants nothing if `allowance` is not set.
    pub(super) fn new(allowance: Option<RetryAllowance>, started: Instant) -> Self {
        let lifetime = allowance.map_or(Duration::ZERO, |allowance| lifetime(&allowance));
        Self {
            allowance,
            committed: RetryBlocks::default(),
            proposed: None,
            has_proposed: false,
            inherited: (RetryBlocks::default(), started + lifetime),
            acquired: BTreeMap::new(),
        }
    }

    /// Applies the blocks that are committed to the log.
    pub(super) fn apply(&mut self, blocks: &RetryBlocks) {
        if !self.has_proposed {
            self.inherited.0 = blocks.clone();
        }
        if self.proposed.as_ref() == Some(blocks) {
            self.proposed = None;
        }
        self.committed = blocks.clone();
    }

    /// Returns the blocks to commit if they should change. Blocks are drawn ahead for `services`.
    pub(super) fn propose<'a>(
        &mut self,
        services: impl Iterator<Item = &'a id::Service>,
        now: Instant,
    ) -> Option<RetryBlocks> {
        let allowance = self.allowance.filter(|_| self.proposed.is_none())?;
        let drawn = self.committed.0.keys();
        let mut spare_blocks: BTreeMap<_, _> = drawn.map(|service| (service.clone(), 0)).collect();
        spare_blocks.extend(services.map(|service| (service.clone(), SPARE_BLOCKS)));
        let wanted = spare_blocks.into_iter().map(|(service, spare)| {
            let blocks = self.wanted_blocks(&service, spare, &allowance, now);
            (service, blocks)
        });
        let wanted = RetryBlocks(wanted.filter(|(_, blocks)| *blocks > 0).collect());
        if wanted == self.committed {
            return None;
        }
        self.has_proposed = true;
        self.proposed = Some(wanted.clone());
        Some(wanted)
    }

    /// How many blocks of a service should be drawn. Blocks are returned only once there are twice as many to spare as
    /// needed, so that the log does not change with each retry.
    fn wanted_blocks(
        &mut self,
        service: &id::Service,
        spare: u32,
        allowance: &RetryAllowance,
        now: Instant,
    ) -> u32 {
        let used = self.count_acquired(service, now);
        let used_blocks =
            used.div_ceil(block_size(allowance)) + self.inherited_blocks(service, now);
        let drawn = self.committed.get(service);
        let lower = (used_blocks + spare).min(max_blocks(allowance));
        let upper = used_blocks + 2 * spare;
        drawn.clamp(lower, upper.max(lower))
    }

    /// Acquires a retry to a service if one is left.
    pub(super) fn acquire(&mut self, service: &id::Service, now: Instant) -> Option<GrantedRetry> {
        let left = self.left(service, now).checked_sub(1)?;
        let acquired = self.acquired.entry(service.clone()).or_default();
        acquired.push(now);
        Some(GrantedRetry {
            service: service.clone(),
            acquired_at: now,
            left,
        })
    }

    /// Returns how many retries to a service are left.
    pub(super) fn left(&mut self, service: &id::Service, now: Instant) -> u32 {
        let Some(allowance) = self.allowance else {
            return 0;
        };
        let proposed = self.proposed.as_ref();
        let committed = self.committed.get(service);
        let drawn = proposed.map_or(committed, |proposed| committed.min(proposed.get(service)));
        let own = drawn.saturating_sub(self.inherited_blocks(service, now));
        (own * block_size(&allowance)).saturating_sub(self.count_acquired(service, now))
    }

    /// Releases a retry that was acquired and not used.
    pub(super) fn release(&mut self, retry: &GrantedRetry) {
        if let Some(acquired) = self.acquired.get_mut(&retry.service)
            && let Some(index) = acquired.iter().position(|at| *at == retry.acquired_at)
        {
            acquired.remove(index);
        }
    }

    /// The blocks of former hubs that still count.
    fn inherited_blocks(&self, service: &id::Service, now: Instant) -> u32 {
        let (blocks, until) = &self.inherited;
        if now < *until { blocks.get(service) } else { 0 }
    }

    /// The number of acquired retries that still count. The others are dropped.
    fn count_acquired(&mut self, service: &id::Service, now: Instant) -> u32 {
        let (Some(allowance), Some(acquired)) = (self.allowance, self.acquired.get_mut(service))
        else {
            return 0;
        };
        let lifetime = lifetime(&allowance);
        acquired.retain(|acquired_at| now.since(*acquired_at) < lifetime);
        u32::try_from(acquired.len()).unwrap_or(u32::MAX)
    }
}

/// How many retries hubs grant in a window.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn max_retries(allowance: &RetryAllowance) -> u32 {
    (allowance.min_retries * HUB_MIN_RETRIES_FRACTION) as u32
}

/// How many retries a block has.
fn block_size(allowance: &RetryAllowance) -> u32 {
    max_retries(allowance).div_ceil(MAX_BLOCKS).max(1)
}

/// How many blocks there are.
fn max_blocks(allowance: &RetryAllowance) -> u32 {
    max_retries(allowance) / block_size(allowance)
}

/// How long a retry counts from when it was acquired.
fn lifetime(allowance: &RetryAllowance) -> Duration {
    allowance.window + RETRY_GRANT_LIFETIME
}
