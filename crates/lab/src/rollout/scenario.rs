//! Scenarios: the version that is rolled out, and what goes wrong meanwhile.

use super::Fault;

/// What goes wrong while a version is rolled out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Twice as many requests, for three seconds.
    Burst,
    /// A fifth of the servers of both versions are down for two seconds.
    Crash,
    /// A fifth of the servers of both versions fail four in ten requests, until the end.
    Grey,
    /// Half of the servers of both versions fail half of their requests, for four seconds.
    GreyMany,
    /// The leader changes; there is no leader for 0.4 s.
    Leader,
    /// The leader changes three times.
    Leaders,
    /// Two of ten gateways are cut off from the hub for five seconds, and decide locally.
    Cut,
    /// All processes are killed and restart 1.5 s later with what was committed.
    AllKilled,
}

impl Trouble {
    /// All kinds of trouble.
    pub const ALL: [Self; 9] = [
        Self::None,
        Self::Burst,
        Self::Crash,
        Self::Grey,
        Self::GreyMany,
        Self::Leader,
        Self::Leaders,
        Self::Cut,
        Self::AllKilled,
    ];

    /// When hubs stop, in milliseconds after the order, and for how many milliseconds there is none.
    pub(super) fn hub_outages(self) -> &'static [(u64, u64)] {
        match self {
            Self::Leader => &[(3_000, 400)],
            Self::Leaders => &[(1_000, 400), (4_000, 400), (7_000, 400)],
            Self::AllKilled => &[(4_000, 1_500)],
            _ => &[],
        }
    }
}

/// One simulated roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The fault of the new version; none if it is good.
    pub fault: Option<Fault>,
    /// What goes wrong meanwhile.
    pub trouble: Trouble,
    /// The seed of all random decisions.
    pub seed: u64,
    /// Servers of each version.
    pub servers: usize,
    /// Requests per second.
    pub rate: f64,
    /// The time limit of the roll-out in milliseconds.
    pub length_ms: u64,
}

impl Scenario {
    /// Creates a roll-out within 12 s of a service with 75 servers per version, at about half of their capacity.
    #[must_use]
    pub fn new(fault: Option<Fault>, trouble: Trouble, seed: u64) -> Self {
        Self {
            fault,
            trouble,
            seed,
            servers: 75,
            rate: 200.0,
            length_ms: 12_000,
        }
    }
}
