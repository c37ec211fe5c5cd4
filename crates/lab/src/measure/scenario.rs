//! The simulated deployments and cases: sizes, loads and faults.

use std::time::Duration;

use super::engine::EngineSpec;

/// The size of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its engines.
    pub engines: Vec<EngineSpec>,
    /// Its entries.
    pub entries: usize,
    /// One-way latency between two data halls.
    pub hall_latency: Duration,
    /// One-way latency between a caller and an entry.
    pub caller_latency: Duration,
}

const FAST_ENGINE: EngineSpec = EngineSpec {
    prefill: 8_000.0,
    decode: 40.0,
    full_speed_batch: 12,
    slots: 24,
    cache: 400_000,
};

const MEDIUM_ENGINE: EngineSpec = EngineSpec {
    prefill: 4_000.0,
    decode: 30.0,
    full_speed_batch: 10,
    slots: 16,
    cache: 200_000,
};

const SLOW_ENGINE: EngineSpec = EngineSpec {
    prefill: 2_000.0,
    decode: 20.0,
    full_speed_batch: 8,
    slots: 12,
    cache: 100_000,
};

impl Deployment {
    /// Ten language-model engines of three generations; half a millisecond between halls.
    #[must_use]
    pub fn kursora() -> Self {
        Self {
            name: "kursora",
            engines: [
                vec![FAST_ENGINE; 4],
                vec![MEDIUM_ENGINE; 4],
                vec![SLOW_ENGINE; 2],
            ]
            .concat(),
            entries: 12,
            hall_latency: Duration::from_micros(500),
            caller_latency: Duration::from_millis(1),
        }
    }

    /// Twelve assistant engines of three generations; one and a half milliseconds between halls.
    #[must_use]
    pub fn vallebruna() -> Self {
        Self {
            name: "vallebruna",
            engines: [
                vec![FAST_ENGINE; 2],
                vec![MEDIUM_ENGINE; 5],
                vec![SLOW_ENGINE; 5],
            ]
            .concat(),
            entries: 10,
            hall_latency: Duration::from_micros(1_500),
            caller_latency: Duration::from_millis(3),
        }
    }
}

/// A case: its load, and which faults occur.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, Default)]
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// The load, as a multiple of the capacity of the engines without their caches.
    pub load: f64,
    /// The load is four times as high for ten seconds.
    pub burst: bool,
    /// An engine becomes five times slower without notice.
    pub slow_engine: bool,
    /// Load reports stop.
    pub reports_stop: bool,
    /// Every engine loses its cache without notice.
    pub caches_lost: bool,
    /// An engine drains.
    pub engine_drains: bool,
    /// The entry that owns the queue crashes.
    pub owner_crashes: bool,
    /// One customer sends a hundred times as many requests.
    pub flood: bool,
    /// Only requests of the highest tier are sent, at their rate in the case.
    pub top_tier_only: bool,
}

impl Case {
    /// Returns all cases.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let case = |name, load| Self {
            name,
            load,
            ..Self::default()
        };
        vec![
            case("0.7", 0.7),
            case("1.0", 1.0),
            case("1.3", 1.3),
            case("2.0", 2.0),
            Self {
                burst: true,
                ..case("burst", 0.7)
            },
            Self {
                slow_engine: true,
                ..case("slow engine", 1.0)
            },
            Self {
                slow_engine: true,
                ..case("2.0, slow", 2.0)
            },
            Self {
                reports_stop: true,
                ..case("no reports", 1.0)
            },
            Self {
                caches_lost: true,
                ..case("lost events", 1.0)
            },
            Self {
                engine_drains: true,
                ..case("leaving", 1.0)
            },
            Self {
                owner_crashes: true,
                ..case("entry dies", 1.0)
            },
            Self {
                flood: true,
                ..case("flood", 0.7)
            },
            Self {
                name: "all at once",
                load: 2.0,
                burst: true,
                slow_engine: true,
                reports_stop: true,
                caches_lost: true,
                engine_drains: true,
                owner_crashes: true,
                flood: true,
                top_tier_only: false,
            },
        ]
    }
}
