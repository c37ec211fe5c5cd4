//! The gateways that are known to stop, and when callers were last sent to each gateway.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use curlewlift_core::clock::Instant;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::Membership;
use curlewlift_core::gateway::StopNotice;
use curlewlift_core::gateway::StopNotices;

use crate::gateway;

/// The gateways that are known to stop, shared by a gateway and the replica in its process: either of them may receive
/// the notice.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoppingGateways(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    notices: StopNotices,
    /// When an address response of this host last named each gateway.
    last_named: HashMap<SocketAddr, Instant>,
}

impl StoppingGateways {
    /// Records a notice, and logs how long ago an address response of this host last named the gateway.
    pub(crate) fn record(&self, notice: StopNotice, now: Instant) {
        let mut state = self.lock();
        if !state.notices.record(notice, now) {
            return;
        }
        let last_named = state.last_named.get(&notice.callers).copied();
        drop(state);
        gateway::note(Kind::GatewayStops)
            .with("gateway", notice.callers.to_string())
            .with("incarnation", notice.incarnation)
            .with(
                "named_before_ms",
                last_named.map(|named| gateway::millis(now.since(named))),
            )
            .write();
    }

    /// Records that an address response of this host names these gateways.
    pub(crate) fn record_named(&self, addresses: &[SocketAddr], now: Instant) {
        let named = addresses.iter().map(|address| (*address, now));
        self.lock().last_named.extend(named);
    }

    /// Reads the notices.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&StopNotices) -> T) -> T {
        read(&self.lock().notices)
    }

    /// Drops what is no longer needed of gateways that are not in `membership`.
    pub(crate) fn retain_members(&self, membership: &Membership, now: Instant) {
        let mut state = self.lock();
        state.notices.retain_members(membership, now);
        if state.last_named.len() > 2 * membership.gateways.len() {
            let members = membership.gateways.iter();
            let members: Vec<_> = members.map(|gateway| gateway.callers).collect();
            state
                .last_named
                .retain(|address, _| members.contains(address));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is valid even if a thread panicked while it held the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
