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
struct Course {
    /// The versions that serve it; none before that is known.
    serving: BTreeSet<Version>,
    /// The last order, and how far it has come.
    last: Option<(Order, Phase)>,
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
    courses: BTreeMap<id::Service, Course>,
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
    pub fn check(&self, order: &Order) -> Result<(), Refusal> {
        match self.get(&order.service) {
            Some((last, phase)) if !phase.is_end() && last.target != order.target => {
                let (service, target) = (&order.service, &last.target);
                let why = format!("a roll-out of `{service}` to `{target}` is under way");
                Err(Refusal::new(Code::Conflict, why))
            }
            _ => Ok(()),
        }
    }

    /// Whether `order` is the last one of its service, given again.
    #[must_use]
    pub fn has(&self, order: &Order) -> bool {
        let last = self.get(&order.service);
        last.is_some_and(|(last, phase)| {
            last.is_same(order) || (!phase.is_end() && last.target == order.target)
        })
    }

    /// The last order of a service, and how far it has come.
    #[must_use]
    pub fn get(&self, service: &id::Service) -> Option<(&Order, Phase)> {
        let last = self.courses.get(service)?.last.as_ref();
        last.map(|(order, phase)| (order, *phase))
    }

    /// The versions that serve a service; none where that is not known yet.
    #[must_use]
    pub fn serving(&self, service: &id::Service) -> Option<&BTreeSet<Version>> {
        let serving = self.courses.get(service).map(|course| &course.serving);
        serving.filter(|serving| !serving.is_empty())
    }

    /// The orders that have not come to their end.
    pub fn under_way(&self) -> impl Iterator<Item = (&Order, Phase)> {
        let last = self
            .courses
            .values()
            .filter_map(|course| course.last.as_ref());
        let under_way = last.filter(|(_, phase)| !phase.is_end());
        under_way.map(|(order, phase)| (order, *phase))
    }

    /// The services of which anything is agreed.
    pub(super) fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.courses.keys()
    }

    fn establish(&mut self, service: &id::Service, versions: &BTreeSet<Version>) {
        let course = self.courses.entry(service.clone()).or_default();
        if course.serving.is_empty() {
            course.serving.clone_from(versions);
        }
    }

    fn order(&mut self, order: &Order) -> Result<(), Refusal> {
        self.check(order)?;
        if self.has(order) {
            return Ok(());
        }
        let course = self.courses.entry(order.service.clone()).or_default();
        let serves = course.serving.iter().eq([&order.target]);
        let phase = if serves {
            Phase::Completed
        } else {
            Phase::Trial
        };
        course.last = Some((order.clone(), phase));
        Ok(())
    }

    fn advance(&mut self, service: &id::Service, target: &Version, next: Phase) {
        let Some(course) = self.courses.get_mut(service) else {
            return;
        };
        let Some((order, phase)) = &mut course.last else {
            return;
        };
        if order.target != *target || !phase.leads_to(next) {
            return;
        }
        *phase = next;
        if next == Phase::Completed {
            course.serving = [target.clone()].into();
        }
    }
}
