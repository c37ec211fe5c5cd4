//! How long requests are held, and when callers are to come back.

use std::time::Duration;

use curlewlift_core::pool::FirstByteTime;
use curlewlift_core::pool::WaitLimit;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A request whose answer is wanted within a second, takes 300 ms to begin, and that has eight.
fn patience(waited: Duration) -> WaitLimit {
    WaitLimit {
        objective: ms(1_000),
        waited,
        remaining: ms(8_000).saturating_sub(waited),
        first_byte: ms(300),
    }
}

#[test]
fn in_time() {
    // Whatever it has waited for before, for its customer's allowance or for a first table.
    for waited in (0..1_000).step_by(10).map(ms) {
        let sent = waited + patience(waited).send_within();
        assert!(
            sent + ms(300) <= ms(1_000).max(waited + ms(300)),
            "{waited:?}"
        );
    }
    assert_eq!(patience(ms(100)).send_within(), ms(600));
    assert_eq!(patience(ms(900)).send_within(), ms(0));
}

#[test]
fn little_time_left() {
    let patience = WaitLimit {
        remaining: ms(60),
        ..patience(ms(0))
    };
    assert_eq!(patience.max_wait(), ms(30));
}

/// Nobody is held for as long as callers wait for a stream's first event.
#[test]
fn held_for_less() {
    assert!(patience(ms(0)).max_wait() <= ms(1_000));
    assert!(patience(ms(900)).max_wait() > ms(100), "late, but of use");
}

#[test]
fn come_back_later() {
    // A caller keeps to it up to a third of the time that it has left.
    assert_eq!(patience(ms(0)).retry_after(), ms(2_000));
    let short = WaitLimit {
        remaining: ms(200),
        ..patience(ms(0))
    };
    assert!(
        short.retry_after() >= ms(300),
        "not before a place can be free"
    );
}

/// Answers that take longer and longer to begin are wanted earlier and earlier.
#[test]
fn lead_follows() {
    let mut lead = FirstByteTime::default();
    for _ in 0..40 {
        lead.add(ms(50));
    }
    let steady = lead.estimate();
    assert!(steady >= ms(50) && steady < ms(60), "{steady:?}");
    for _ in 0..8 {
        lead.add(ms(400));
    }
    assert!(lead.estimate() > ms(250), "{:?}", lead.estimate());
}

/// Uneven ones count more than their mean.
#[test]
fn lead_of_uneven() {
    let mut lead = FirstByteTime::default();
    for turn in 0..100 {
        lead.add(ms(if turn % 2 == 0 { 50 } else { 150 }));
    }
    assert!(lead.estimate() > ms(130), "{:?}", lead.estimate());
}
