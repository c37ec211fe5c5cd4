//! How long requests are queued, when rejected callers should retry, and the estimated time to the first byte that this
//! depends on.

use std::time::Duration;

use curlewlift_core::pool::FirstByteTime;
use curlewlift_core::pool::WaitLimit;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The limits of a request with an objective of one second, 300 ms to the first byte and eight seconds until its
/// deadline.
fn wait_limit(waited: Duration) -> WaitLimit {
    WaitLimit {
        objective: ms(1_000),
        waited,
        remaining: ms(8_000).saturating_sub(waited),
        first_byte: ms(300),
    }
}

#[test]
fn sent_in_time() {
    // A request may already have waited for its customer's quota or for the first routing table.
    for waited in (0..1_000).step_by(10).map(ms) {
        let sent = waited + wait_limit(waited).send_within();
        assert!(
            sent + ms(300) <= ms(1_000).max(waited + ms(300)),
            "{waited:?}"
        );
    }
    assert_eq!(wait_limit(ms(100)).send_within(), ms(600));
    assert_eq!(wait_limit(ms(900)).send_within(), ms(0));
}

#[test]
fn half_of_remaining() {
    let short = WaitLimit {
        remaining: ms(60),
        ..wait_limit(ms(0))
    };
    assert_eq!(short.max_wait(), ms(30));
}

/// Requests are queued for less time than callers wait for a stream's first event.
#[test]
fn max_wait_bounded() {
    assert!(wait_limit(ms(0)).max_wait() <= ms(1_000));
    assert!(
        wait_limit(ms(900)).max_wait() > ms(100),
        "a request that misses its objective is still queued"
    );
}

#[test]
fn retry_after() {
    // Callers respect a retry time of up to a third of their remaining time.
    assert_eq!(wait_limit(ms(0)).retry_after(), ms(2_000));
    let short = WaitLimit {
        remaining: ms(200),
        ..wait_limit(ms(0))
    };
    assert!(
        short.retry_after() >= ms(300),
        "no retry before a slot can be free"
    );
}

/// The estimate follows answers that take longer to begin.
#[test]
fn estimate_follows_change() {
    let mut first_byte = FirstByteTime::default();
    for _ in 0..40 {
        first_byte.add(ms(50));
    }
    let steady = first_byte.estimate();
    assert!(steady >= ms(50) && steady < ms(60), "{steady:?}");
    for _ in 0..8 {
        first_byte.add(ms(400));
    }
    assert!(
        first_byte.estimate() > ms(250),
        "{:?}",
        first_byte.estimate()
    );
}

/// The estimate for times that vary is higher than their mean.
#[test]
fn estimate_exceeds_mean() {
    let mut first_byte = FirstByteTime::default();
    for answer in 0..100 {
        first_byte.add(ms(if answer % 2 == 0 { 50 } else { 150 }));
    }
    assert!(
        first_byte.estimate() > ms(130),
        "{:?}",
        first_byte.estimate()
    );
}
