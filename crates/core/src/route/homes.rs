//! The regions that requests must stay in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The regions that requests of a rule or a customer must stay in; by default they may go anywhere.
///
/// # Examples
///
/// ```
/// use curlewlift_core::route::Homes;
/// let rule = Homes::new(["north".into(), "south".into()]);
/// let customer = Homes::new(["south".into(), "west".into()]);
/// assert_eq!(rule.intersection(&customer), Homes::new(["south".into()]));
/// assert_eq!(rule.intersection(&Homes::default()), rule);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes(Option<BTreeSet<Arc<str>>>);

impl Homes {
    /// Restricts requests to `regions`; without any regions they may go anywhere.
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = Arc<str>>) -> Self {
        let regions: BTreeSet<_> = regions.into_iter().collect();
        Self((!regions.is_empty()).then_some(regions))
    }

    /// The regions that both allow. If they have none in common, no region is allowed.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(a), Some(b)) => Self(Some(a & b)),
            (a, b) => Self(a.clone().or_else(|| b.clone())),
        }
    }
}

/// The region of each data hall.
///
/// # Examples
///
/// ```
/// use curlewlift_core::route::Homes;
/// use curlewlift_core::route::Regions;
/// let regions = Regions::new([("a".into(), "north".into()), ("b".into(), "south".into())]);
/// let halls = regions.halls(&Homes::new(["south".into()]));
/// assert_eq!(halls.as_deref(), Some(&["b".into()][..]));
/// assert_eq!(regions.halls(&Homes::default()), None, "anywhere");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<Arc<str>, Arc<str>>);

impl Regions {
    /// Creates the map from pairs of a data hall and its region.
    #[must_use]
    pub fn new(halls: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> Self {
        Self(halls.into_iter().collect())
    }

    /// The region of a data hall; `None` if the hall is not known.
    #[must_use]
    pub fn get(&self, hall: &str) -> Option<&Arc<str>> {
        self.0.get(hall)
    }

    /// The data halls that requests with these homes may go to; `None` if they may go anywhere. A hall that is not
    /// known belongs to no region.
    #[must_use]
    pub fn halls(&self, homes: &Homes) -> Option<Arc<[Arc<str>]>> {
        let homes = homes.0.as_ref()?;
        let halls = self.0.iter();
        let halls = halls.filter(|(_, region)| homes.contains(*region));
        Some(halls.map(|(hall, _)| Arc::clone(hall)).collect())
    }
}
