//! The journal of a replica that is restarted in the same process.
//!
//! Guards against a journal thread that outlives its replica: on a busy host the restarted replica could then
//! read the journal before the old thread had written its last batch. The replica's log contradicted the journal,
//! and it was asked to truncate an entry that it knew to be committed. This happened after all hosts had been
//! killed, one disk had been wiped and all hosts were started again.

mod platform;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;

/// The number of journal threads in this process.
fn journal_threads() -> usize {
    let threads =
        std::fs::read_dir("/proc/self/task").expect("the threads of this process are listed");
    let names = threads.flatten().map(|thread| {
        // A thread that has just ended has no name any more.
        std::fs::read_to_string(thread.path().join("comm")).unwrap_or_default()
    });
    names.filter(|name| name.trim() == "journal").count()
}

#[test]
fn old_thread_ends() {
    let engine = Engine::start("i-1");
    let mut hosts = Hosts::start(folder("old_thread_ends"), &[(&engine, "chat")]);
    hosts.configure(&document(7).to_string());
    assert_eq!(journal_threads(), 3, "one journal thread for each disk");
    for round in 0..20_u64 {
        let is_stopped = AtomicBool::new(false);
        std::thread::scope(|scope| {
            for host in 0..3 {
                let (hosts, is_stopped) = (&hosts, &is_stopped);
                scope.spawn(move || {
                    for version in 1..8 {
                        if !is_stopped.load(Ordering::Relaxed) {
                            hosts.put(host, &document(round * 10 + version).to_string());
                        }
                    }
                });
            }
            std::thread::sleep(Duration::from_millis(15 + round));
            is_stopped.store(true, Ordering::Relaxed);
        });
        hosts.indices().for_each(|host| hosts.kill(host));
        // The kernel still lists a thread for some microseconds after it was joined.
        std::thread::sleep(Duration::from_micros(300));
        assert_eq!(
            journal_threads(),
            0,
            "no journal thread outlives its replica, round {round}"
        );
        hosts.indices().for_each(|host| hosts.boot(host, false));
    }
}
