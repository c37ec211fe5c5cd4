//! The roll-outs as they are agreed.

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

/// What is agreed of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceRollout {
    /// The versions that serve it; none before that is known.
    serving: BTreeSet<Version>,
    /// The last order, and how far it has come.
    #[serde(rename = "last")]
    last_order: Option<(Order, Phase)>,
}

/// The roll-outs of all services as they are agreed, as one value that every replica computes alike.
///
/// A version serves a service because it did so when the service was first seen, or because a roll-out to it
/// was completed: one that merely shows up gets nothing. Memory is linear in the services.
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
/// assert!(plans.get(&"chat".parse()?).is_none(), "nothing was ordered");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plans {
    #[serde(rename = "courses")]
    services: BTreeMap<id::Service, ServiceRollout>,
}

impl Plans {
    /// Applies one step; one that does not follow from the state changes nothing.
    ///
    /// # Errors
    ///
    /// [`Code::Conflict`] for an order while another one of its service is under way.
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

    /// Whether `order` can be taken.
    ///
    /// # Errors
    ///
    /// [`Code::Conflict`] where another one of its service is under way.
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

    /// Whether `order` is the last one of its service, given again.
    #[must_use]
    pub fn has_order(&self, order: &Order) -> bool {
        let last = self.last_order(&order.service);
        last.is_some_and(|(last, phase)| {
            last.is_repeat_of(order) || (!phase.is_final() && last.target == order.target)
        })
    }

    /// The last order of a service, and how far it has come.
    #[must_use]
    pub fn last_order(&self, service: &id::Service) -> Option<(&Order, Phase)> {
        let last = self.services.get(service)?.last_order.as_ref();
        last.map(|(order, phase)| (order, *phase))
    }

    /// The versions that serve a service; none where that is not known yet.
    #[must_use]
    pub fn serving_versions(&self, service: &id::Service) -> Option<&BTreeSet<Version>> {
        let serving = self.services.get(service).map(|rollout| &rollout.serving);
        serving.filter(|serving| !serving.is_empty())
    }

    /// The orders that have not come to their end.
    pub fn active_orders(&self) -> impl Iterator<Item = (&Order, Phase)> {
        let last = self
            .services
            .values()
            .filter_map(|rollout| rollout.last_order.as_ref());
        let under_way = last.filter(|(_, phase)| !phase.is_final());
        under_way.map(|(order, phase)| (order, *phase))
    }

    /// The services of which anything is agreed.
    pub(super) fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.services.keys()
    }

    fn establish(&mut self, service: &id::Service, versions: &BTreeSet<Version>) {
        let rollout = self.services.entry(service.clone()).or_default();
        if rollout.serving.is_empty() {
            rollout.serving.clone_from(versions);
        }
    }

    fn order(&mut self, order: &Order) -> Result<(), Refusal> {
        self.check_order(order)?;
        if self.has_order(order) {
            return Ok(());
        }
        let rollout = self.services.entry(order.service.clone()).or_default();
        let serves = rollout.serving.iter().eq([&order.target]);
        let phase = if serves {
            Phase::Completed
        } else {
            Phase::Trial
        };
        rollout.last_order = Some((order.clone(), phase));
        Ok(())
    }

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
