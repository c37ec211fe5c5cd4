//! What is rolled out, and what happens meanwhile.

use super::Fault;

/// What happens while a version is rolled out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Twice the requests, for three seconds.
    Burst,
    /// A fifth of the servers of both versions are down for two seconds.
    Crash,
    /// A fifth of the servers of both versions fail four in ten requests, for as long as it lasts.
    Grey,
    /// Half of the servers of both versions fail half of their requests, for four seconds.
    GreyMany,
    /// The leader changes; nobody leads for 0.4 s.
    Leader,
    /// The leader changes three times.
    Leaders,
    /// Two of ten gateways are cut off from the hub for five seconds, and choose by themselves.
    Cut,
    /// Everything ends and starts again a second later; what was agreed is there.
    AllKilled,
}

impl Trouble {
    /// All of them.
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

    /// When hubs end, and for how long there is none, in milliseconds after the order.
    pub(super) fn changes(self) -> &'static [(u64, u64)] {
        match self {
            Self::Leader => &[(3_000, 400)],
            Self::Leaders => &[(1_000, 400), (4_000, 400), (7_000, 400)],
            Self::AllKilled => &[(4_000, 1_500)],
            _ => &[],
        }
    }
}

/// One roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// What is wrong with the new version; none of a good one.
    pub fault: Option<Fault>,
    /// What happens meanwhile.
    pub trouble: Trouble,
    /// Decides everything else.
    pub seed: u64,
    /// Servers of each version.
    pub servers: usize,
    /// Requests a second.
    pub rate: f64,
    /// Within what time the roll-out is to come to its end, in milliseconds.
    pub length_ms: u64,
}

impl Scenario {
    /// A roll-out within 12 s at a service of 75 servers, at some half of what they can bear.
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
