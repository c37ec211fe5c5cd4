//! Overload through several entries at once. A request of the higher tier must not be shed while
//! requests of the lower tier wait in the queue, whichever entry it arrives at.

mod support;

use std::time::Duration;

use curlewlift_lab::client::Client;
use support::SmallSystem;

#[test]
fn lower_tier_shed() {
    let mut small = SmallSystem::start("lower_tier_shed", 1, 3, 1);
    // One slow slot, and a queue with room for about twenty short requests.
    small
        .site
        .run("change server m1 slots=1 decode=20 prefill=2000");
    small.site.run("change service chat work=500");
    small.site.wait_for_revision();
    let send = |number: usize| {
        let is_high = number % 2 == 1;
        let client = if is_high {
            small.ann.clone()
        } else {
            small.ben.clone()
        };
        let address = small.site.entry(number % 3);
        async move {
            // The lower tier sends first and fills the queue.
            let delay_ms = if is_high { 300 } else { 0 };
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let body = Client::chat("m", &format!("hello {number}"), 20, false);
            (is_high, client.post(address, &[], body).await)
        }
    };
    let all = futures::future::join_all((0..40).map(send));
    let replies = small.runtime.block_on(all);
    let count = |high_tier: bool, code: &str| {
        let matching = replies.iter().filter(|(is_high, reply)| {
            *is_high == high_tier && reply.header("curlewlift-code") == code
        });
        matching.count()
    };
    assert_eq!(
        count(true, "0"),
        20,
        "all requests of the higher tier are served, at every entry"
    );
    assert!(
        count(false, "3001") > 0,
        "requests of the lower tier are shed"
    );
    assert_eq!(count(true, "3001"), 0);
    assert_eq!(small.max_runs(), 1);
}
