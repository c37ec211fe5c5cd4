//! What is measured: whose size, which load, which trouble.

use std::time::Duration;

use super::engine::Build;

/// The size of one of the users.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: &'static str,
    /// Its engines.
    pub engines: Vec<Build>,
    /// Its entries.
    pub entries: usize,
    /// One way between two data halls.
    pub between: Duration,
    /// One way between a caller and an entry.
    pub caller: Duration,
}

const FAST: Build = Build {
    prefill: 8_000.0,
    decode: 40.0,
    knee: 12,
    slots: 24,
    cache: 400_000,
};

const MIDDLE: Build = Build {
    prefill: 4_000.0,
    decode: 30.0,
    knee: 10,
    slots: 16,
    cache: 200_000,
};

const OLD: Build = Build {
    prefill: 2_000.0,
    decode: 20.0,
    knee: 8,
    slots: 12,
    cache: 100_000,
};

impl Site {
    /// Ten language-model engines of three generations; half a millisecond between halls.
    #[must_use]
    pub fn kursora() -> Self {
        Self {
            name: "kursora",
            engines: [vec![FAST; 4], vec![MIDDLE; 4], vec![OLD; 2]].concat(),
            entries: 12,
            between: Duration::from_micros(500),
            caller: Duration::from_millis(1),
        }
    }

    /// Twelve assistant engines of three generations; one and a half milliseconds between halls.
    #[must_use]
    pub fn vallebruna() -> Self {
        Self {
            name: "vallebruna",
            engines: [vec![FAST; 2], vec![MIDDLE; 5], vec![OLD; 5]].concat(),
            entries: 10,
            between: Duration::from_micros(1_500),
            caller: Duration::from_millis(3),
        }
    }
}

/// One case of the measure: each trouble comes or does not.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, Default)]
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// The load, as a multiple of what the engines carry without their caches.
    pub load: f64,
    /// Four times the load for ten seconds.
    pub burst: bool,
    /// An engine becomes five times slower, unannounced.
    pub slow: bool,
    /// Load reports stop.
    pub silent: bool,
    /// Every engine loses its cache, and no event tells.
    pub forgets: bool,
    /// An engine leaves.
    pub leaves: bool,
    /// The entry that owns the queue dies.
    pub dies: bool,
    /// One customer sends a hundred times its share.
    pub floods: bool,
    /// Only requests of the highest tier, at the rate that they have in the case.
    pub alone: bool,
}

impl Case {
    /// Every case of the table.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let at = |name, load| Self {
            name,
            load,
            ..Self::default()
        };
        vec![
            at("0.7", 0.7),
            at("1.0", 1.0),
            at("1.3", 1.3),
            at("2.0", 2.0),
            Self {
                burst: true,
                ..at("burst", 0.7)
            },
            Self {
                slow: true,
                ..at("slow engine", 1.0)
            },
            Self {
                slow: true,
                ..at("2.0, slow", 2.0)
            },
            Self {
                silent: true,
                ..at("no reports", 1.0)
            },
            Self {
                forgets: true,
                ..at("lost events", 1.0)
            },
            Self {
                leaves: true,
                ..at("leaving", 1.0)
            },
            Self {
                dies: true,
                ..at("entry dies", 1.0)
            },
            Self {
                floods: true,
                ..at("flood", 0.7)
            },
            Self {
                name: "all at once",
                load: 2.0,
                burst: true,
                slow: true,
                silent: true,
                forgets: true,
                leaves: true,
                dies: true,
                floods: true,
                alone: false,
            },
        ]
    }
}
