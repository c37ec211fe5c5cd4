//! A planned stop of an entry cuts nothing off (row M4).

mod support;

use std::time::Duration;

use axum::http::Method;
use curlewlift_lab::client::Client;

use support::SmallSystem;

#[test]
fn serves_on() {
    let mut small = SmallSystem::start("serves_on", 1, 4, 2);
    let to = small.site.entry(0);
    let ann = small.ann.clone();
    let long = small.runtime.spawn(async move {
        ann.post(to, &[], Client::chat("m", "long", 600, true))
            .await
    });
    std::thread::sleep(Duration::from_millis(200));
    let process = small.site.stop_entry(0);
    let short = small
        .ann
        .post(to, &[], Client::chat("m", "kept the address", 3, false));
    assert_eq!(small.runtime.block_on(short).status, 200);
    let long = small.runtime.block_on(long).expect("the caller goes on");
    assert_eq!(long.body.matches("\"delta\"").count(), 600);
    assert!(long.body.ends_with("code=0 outcome=run\n\n"));
    process.wait().expect("it ends well");
    small.site.wait_for_view(3);
}

#[test]
fn leaves_answers() {
    let mut small = SmallSystem::start("leaves_answers", 1, 4, 1);
    let gone = small.site.entry(0).to_string();
    small.site.run("stop host e1");
    small.site.wait_for_view_of(&[1, 2, 3], 3);
    let path = "/curlewlift/addresses";
    let answer = small
        .ann
        .send(small.site.entry(1), Method::GET, path, &[], "");
    let answer = small.runtime.block_on(answer);
    assert_eq!(answer.status, 200);
    assert!(!answer.body.contains(&gone), "{}", answer.body);
}
