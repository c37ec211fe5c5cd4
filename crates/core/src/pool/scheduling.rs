//! The parts of scheduling under hard load, and which of them are in use.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use crate::route::ServicePolicy;

/// A part of scheduling under hard load that a deployment can switch on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// How many requests a server may have in flight beyond its slots is measured.
    InFlight,
    /// Customers of the same rank get equal shares of slot time.
    FairShares,
    /// Servers are chosen by estimates of when a response begins and how long it pauses.
    Placement,
    /// Rejected callers are told to retry when there will be room for them.
    RetryTimes,
    /// Gateways that do not reach the hub keep to shares of the slots.
    LocalSlots,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 5] = [
        Self::InFlight,
        Self::FairShares,
        Self::Placement,
        Self::RetryTimes,
        Self::LocalSlots,
    ];

    /// The name in settings.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::InFlight => "in-flight",
            Self::FairShares => "fair-shares",
            Self::Placement => "placement",
            Self::RetryTimes => "retry-times",
            Self::LocalSlots => "local-slots",
        }
    }

    const fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// The parts that are in use.
///
/// # Examples
///
/// ```
/// use curlewlift_core::pool::Part;
/// use curlewlift_core::pool::Scheduling;
/// let scheduling: Scheduling = "in-flight,fair-shares".parse()?;
/// assert!(scheduling.has(Part::FairShares));
/// assert!(!scheduling.has(Part::Placement));
/// assert_eq!(scheduling.to_string(), "in-flight,fair-shares");
/// # Ok::<(), curlewlift_core::pool::UnknownPart>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduling {
    bits: u8,
}

impl Scheduling {
    /// The same parts and `part`.
    #[must_use]
    pub const fn with(self, part: Part) -> Self {
        Self {
            bits: self.bits | part.bit(),
        }
    }

    /// The same parts without `part`.
    #[must_use]
    pub const fn without(self, part: Part) -> Self {
        Self {
            bits: self.bits & !part.bit(),
        }
    }

    /// Whether `part` is in use.
    #[must_use]
    pub const fn has(self, part: Part) -> bool {
        self.bits & part.bit() != 0
    }

    /// The parts that a service's configuration provides the data for: placement needs to know the engines, a measured
    /// number in flight is for servers without streams, and shares are between customers.
    #[must_use]
    pub fn for_service(self, policy: &ServicePolicy, has_customers: bool) -> Self {
        let with_engine = match policy.engine {
            Some(_) => self.without(Part::InFlight),
            None => self.without(Part::Placement),
        };
        if has_customers {
            with_engine
        } else {
            with_engine.without(Part::FairShares)
        }
    }
}

impl Display for Scheduling {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let parts = Part::ALL.into_iter().filter(|part| self.has(*part));
        let names: Vec<_> = parts.map(Part::name).collect();
        formatter.write_str(&names.join(","))
    }
}

/// The name of a part that does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPart(pub String);

impl Display for UnknownPart {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let names = Part::ALL.map(Part::name).join(", ");
        write!(
            formatter,
            "there is no part `{}`; there are {names}",
            self.0
        )
    }
}

impl std::error::Error for UnknownPart {}

impl FromStr for Scheduling {
    type Err = UnknownPart;

    fn from_str(text: &str) -> Result<Self, UnknownPart> {
        let names = text.split(',').map(str::trim);
        let mut scheduling = Self::default();
        for name in names.filter(|name| !name.is_empty()) {
            let mut parts = Part::ALL.into_iter();
            let part = parts.find(|part| part.name() == name);
            scheduling = scheduling.with(part.ok_or_else(|| UnknownPart(name.to_owned()))?);
        }
        Ok(scheduling)
    }
}
