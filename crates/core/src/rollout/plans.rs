//! The roll-outs of all services, as committed to the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;

use super::Order;
use super::Phase;
use super::Step;
use super::Version;

/// The committed state of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceRollout {
    /// The versions that serve it; empty until that is known.
    serving: BTreeSet<Version>,
    /// The last order and its phase.
    #[serde(rename = "last")]
    last_order: Option<(Order, Phase)>,
}

/// The committed roll-outs of all services; every replica computes the same value from the log.
///
/// A version serves a service if it did so when the service was first seen, or if a roll-out to it
/// was completed. One that is ordered while others serve too no longer does, until its roll-out
/// moves on. A version whose servers merely appear gets no requests. Memory is linear in the
/// services.
///
/// # Examples
///
/// ```
/// use curlewlift_core::rollout::Plans;
/// use curlewlift_core::rollout::Step;
/// let mut plans = Plans::default();
/// plans.apply(&Step::Established {
///     service: "chat".parse()?,
///     versions: ["v1".parse()?].into(),
/// })?;
/// assert!(plans.last_order(&"chat".parse()?).is_none(), "nothing was ordered");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plans {
    #[serde(rename = "courses")]
    services: BTreeMap<id::Service, ServiceRollout>,
}

impl ServiceRollout {
    /// Stops `target` from serving while it is not trusted, unless no other version serves. Gateways would send it requests by
    /// their own decision, beyond what the hub allows a version on trial.
    fn withhold(&mut self, target: &Version) {
        if self.serving.len() > 1 {
            self.serving.remove(target);
        }
    }
}

impl Plans {
    /// Applies a committed step; a step that doesn't follow from the current state changes nothing.
    ///
    /// # Errors
    ///
    /// [`Code::Conflict`] for an order while a roll-out of its service to another version is
    /// active.
    pub fn apply(&mut self, step: &Step) -> Result<(), Refusal> {
        match step {
            Step::Established { service, versions } => self.establish(service, versions),
            Step::Ordered(order) => return self.order(order),
            Step::Advanced {
                service,
                target,
                phase,
            } => self.advance(service, target, *phase),
        }
        Ok(())
    }

    /// Checks whether `order` can be accepted.
    ///
    /// # Errors
    ///
    /// [`Code::Conflict`] if a roll-out of its service to another version is active.
    pub fn check_order(&self, order: &Order) -> Result<(), Refusal> {
        match self.last_order(&order.service) {
            Some((last, phase)) if !phase.is_final() && last.target != order.target => {
                let (service, target) = (&order.service, &last.target);
                let why = format!("a roll-out of `{service}` to `{target}` is under way");
                Err(Refusal::new(Code::Conflict, why))
            }
            _ => Ok(()),
        }
    }

    /// Whether `order` repeats the last order of its service: the same order, or one to the same
    /// target while that roll-out is active.
    #[must_use]
    pub fn has_order(&self, order: &Order) -> bool {
        let last = self.last_order(&order.service);
        last.is_some_and(|(last, phase)| {
            last.is_repeat_of(order) || (!phase.is_final() && last.target == order.target)
        })
    }

    /// The last order of a service and its phase.
    #[must_use]
    pub fn last_order(&self, service: &id::Service) -> Option<(&Order, Phase)> {
        let last = self.services.get(service)?.last_order.as_ref();
        last.map(|(order, phase)| (order, *phase))
    }

    /// The versions that serve a service; `None` if that is not known yet.
    #[must_use]
    pub fn serving_versions(&self, service: &id::Service) -> Option<&BTreeSet<Version>> {
        let serving = self.services.get(service).map(|rollout| &rollout.serving);
        serving.filter(|serving| !serving.is_empty())
    }

    /// The orders whose roll-outs have not ended, with their phases.
    pub fn active_orders(&self) -> impl Iterator<Item = (&Order, Phase)> {
        let last_orders = self
            .services
            .values()
            .filter_map(|rollout| rollout.last_order.as_ref());
        let active = last_orders.filter(|(_, phase)| !phase.is_final());
        active.map(|(order, phase)| (order, *phase))
    }

    /// The services for which any step was committed.
    pub(super) fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.services.keys()
    }

    /// Sets the versions that serve a service, unless they are known already.
    fn establish(&mut self, service: &id::Service, versions: &BTreeSet<Version>) {
        let rollout = self.services.entry(service.clone()).or_default();
        if !rollout.serving.is_empty() {
            return;
        }
        rollout.serving.clone_from(versions);
        // These versions may have been proposed before the order was committed.
        if let Some((order, phase)) = rollout.last_order.clone()
            && phase != Phase::Completed
        {
            rollout.withhold(&order.target);
        }
    }

    /// Accepts an order: it starts a trial, or is completed at once if only its target serves.
    fn order(&mut self, order: &Order) -> Result<(), Refusal> {
        self.check_order(order)?;
        if self.has_order(order) {
            return Ok(());
        }
        let rollout = self.services.entry(order.service.clone()).or_default();
        let serves_already = rollout.serving.iter().eq([&order.target]);
        let phase = if serves_already {
            Phase::Completed
        } else {
            Phase::Trial
        };
        rollout.withhold(&order.target);
        rollout.last_order = Some((order.clone(), phase));
        Ok(())
    }

    /// Advances the roll-out of a service to the phase `next`, if it is active and to this target.
    fn advance(&mut self, service: &id::Service, target: &Version, next: Phase) {
        let Some(rollout) = self.services.get_mut(service) else {
            return;
        };
        let Some((order, phase)) = &mut rollout.last_order else {
            return;
        };
        if order.target != *target || !phase.can_advance_to(next) {
            return;
        }
        *phase = next;
        if next == Phase::Completed {
            rollout.serving = [target.clone()].into();
        }
    }
}
