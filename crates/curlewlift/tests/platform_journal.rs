//! The journal of a replica that begins anew in the same process.
//!
//! Once, beside eight busy processors, a replica found that an entry which it knew to be committed was to be cut
//! ("what is committed is never cut", 235 times until the test gave up), after all hosts had been killed, one disk
//! had been wiped and all were started again. The thread that writes the journal ended some time after its
//! replica, so the next one could read the file while the former one's last batch was on its way there.

mod platform;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;

/// How many threads write journals now.
fn writers() -> usize {
    let threads = std::fs::read_dir("/proc/self/task").expect("threads");
    let names = threads.flatten().map(|thread| {
        // One that has just ended has no name any more.
        std::fs::read_to_string(thread.path().join("comm")).unwrap_or_default()
    });
    names.filter(|name| name.trim() == "journal").count()
}

#[test]
fn no_former_writer() {
    let engine = Engine::start("i-1");
    let mut hosts = Hosts::start(folder("no_former_writer"), &[(&engine, "chat")]);
    hosts.configure(&document(7).to_string());
    assert_eq!(writers(), 3, "one for each disk");
    for round in 0..20_u64 {
        let over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            for place in 0..3 {
                let (hosts, over) = (&hosts, &over);
                scope.spawn(move || {
                    for version in 1..8 {
                        if !over.load(Ordering::Relaxed) {
                            hosts.put(place, &document(round * 10 + version).to_string());
                        }
                    }
                });
            }
            std::thread::sleep(Duration::from_millis(15 + round));
            over.store(true, Ordering::Relaxed);
        });
        hosts.places().for_each(|place| hosts.kill(place));
        // The kernel names a thread for some microseconds after it was joined.
        std::thread::sleep(Duration::from_micros(300));
        assert_eq!(writers(), 0, "round {round}");
        hosts.places().for_each(|place| hosts.boot(place, false));
    }
}
