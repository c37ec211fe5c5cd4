//! Helpers shared by the tests of whole systems.

#[allow(dead_code)]
pub(crate) mod golden;

use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use curlewlift_lab::client::Client;
use curlewlift_lab::site::Site;
use curlewlift_lab::standin::Engine;
use curlewlift_lab::standin::Plain;
use curlewlift_lab::standin::Speed;
use tokio::runtime::Runtime;

/// Returns an empty folder for one test of this process.
pub(crate) fn folder(name: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("{name}-{}-{count}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// A small system: engines of model `m`, one plain server, customers `ann` and `ben`.
#[allow(dead_code)]
pub(crate) struct SmallSystem {
    pub site: Site,
    pub runtime: Runtime,
    pub engines: Vec<Engine>,
    pub plain: Plain,
    pub ann: Client,
    pub ben: Client,
}

impl SmallSystem {
    /// Starts the system and waits until its configuration is in effect.
    #[allow(dead_code)]
    pub(crate) fn start(name: &str, control: usize, entries: usize, engines: usize) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let halls = ["hall-a", "hall-b", "hall-c"];
        let mut site = Site::start(&folder(name), &halls, control, entries);
        site.create_tiers();
        site.run("create service chat model=m");
        site.run("create service pay sole=[\"POST /charge\"]");
        site.create_customer("ann", "live", "");
        site.create_customer("ben", "later", "");
        let shape = Speed {
            prefill: 20_000,
            decode: 400,
        };
        let engines: Vec<_> = (0..engines)
            .map(|_| runtime.block_on(Engine::start(shape)))
            .collect();
        for (index, engine) in engines.iter().enumerate() {
            let fields = "slots=8 prefill=20000 decode=400";
            site.create_server(&format!("m{}", index + 1), "chat", engine.address(), fields);
        }
        let plain = runtime.block_on(Plain::start());
        site.create_server("p1", "pay", plain.address(), "slots=64");
        site.wait_for_revision();
        Self {
            site,
            runtime,
            engines,
            plain,
            ann: Client::new("key-ann"),
            ben: Client::new("key-ben"),
        }
    }

    /// Returns the maximum number of times that a request was run, over all engines.
    #[allow(dead_code)]
    pub(crate) fn max_runs(&self) -> u32 {
        let all_stats = self.engines.iter().map(Engine::stats);
        let mut sums = std::collections::HashMap::new();
        for (id, runs) in all_stats.flat_map(|stats| stats.runs) {
            *sums.entry(id).or_insert(0) += runs;
        }
        sums.into_values().max().unwrap_or(0)
    }
}
