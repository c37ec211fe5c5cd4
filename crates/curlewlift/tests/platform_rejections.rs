//! Servers that fail when they reject too many requests a second, with real gateways.

mod platform;

use std::time::Duration;
use std::time::Instant;

use platform::ThreeHosts;

/// How many requests a second each server may reject.
const LIMIT: u32 = 2;

/// How long all hosts may take to know the limit.
const GRACE: Duration = Duration::from_secs(1);

/// How long each load lasts.
const LOAD_TIME: Duration = Duration::from_secs(3);

/// Twelve callers keep servers with room for two requests full, while the list says that they have four slots. Each server
/// rejects no more than it has announced, also when another hub begins to choose.
#[test]
fn few_rejections() {
    let mut world = ThreeHosts::start("few_rejections");
    for engine in &world.engines {
        engine.set_rejection_limit(LIMIT, 2);
    }
    let from = Instant::now() + GRACE;
    for hosts in [&[0, 1, 2][..], &[1, 2]] {
        let answers = world.send_behavior_for(hosts, LOAD_TIME, "work");
        let answered = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(answered > 20, "{answered} of {}", answers.len());
        if hosts.contains(&0) {
            world.hosts.kill(0);
        }
    }
    for engine in &world.engines {
        let most = engine.max_rejections(from);
        assert!(most <= LIMIT as usize, "{}: {most}", engine.id);
    }
}
