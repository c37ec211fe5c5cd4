//! Overload through several entries: no higher tier is shed while a lower one waits (row L1).

mod support;

use std::time::Duration;

use curlewlift_lab::client::Client;
use support::SmallSystem;

#[test]
fn lower_sheds() {
    let mut small = SmallSystem::start("lower_sheds", 1, 3, 1);
    // One slot, slow, and room for some twenty short requests.
    small
        .site
        .run("change server m1 slots=1 decode=20 prefill=2000");
    small.site.run("change service chat work=500");
    small.site.wait_for_revision();
    let ask = |number: usize| {
        let high = number % 2 == 1;
        let client = if high {
            small.ann.clone()
        } else {
            small.ben.clone()
        };
        let to = small.site.entry(number % 3);
        async move {
            // The lower tier comes first and fills the queue.
            let later = if high { 300 } else { 0 };
            tokio::time::sleep(Duration::from_millis(later)).await;
            let body = Client::chat("m", &format!("hello {number}"), 20, false);
            (high, client.post(to, &[], body).await)
        }
    };
    let all = futures::future::join_all((0..40).map(ask));
    let replies = small.runtime.block_on(all);
    let count = |wanted_high: bool, code: &str| {
        let fitting = replies.iter().filter(|(high, reply)| {
            *high == wanted_high && reply.header("curlewlift-code") == code
        });
        fitting.count()
    };
    assert_eq!(
        count(true, "0"),
        20,
        "the higher tier is answered, at every entry"
    );
    assert!(count(false, "3001") > 0, "the lower tier is shed");
    assert_eq!(count(true, "3001"), 0);
    assert_eq!(small.max_runs(), 1);
}
