//! How long requests are held, and when callers are to come back.

use std::time::Duration;

use curlewlift_core::pool::Patience;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A request whose answer is wanted within a second, and that has eight.
fn patience(waited: Duration) -> Patience {
    Patience {
        objective: ms(1_000),
        waited,
        left: ms(8_000).saturating_sub(waited),
    }
}

#[test]
fn refused_within_quarter() {
    // Whatever it has waited for before, for its customer's allowance or for a first table.
    for waited in (0..1_000).step_by(10).map(ms) {
        let told = waited + patience(waited).unsent();
        assert!(told < ms(250).max(waited + ms(1)), "{waited:?}");
    }
}

#[test]
fn little_time_left() {
    let patience = Patience {
        left: ms(60),
        ..patience(ms(0))
    };
    assert_eq!(patience.unsent(), ms(30));
    assert_eq!(patience.sent(), ms(30));
}

#[test]
fn sent_waits_anew() {
    assert_eq!(patience(ms(900)).unsent(), ms(0));
    assert!(patience(ms(900)).sent() > ms(100));
}

#[test]
fn come_back_later() {
    // A caller keeps to it up to a third of the time that it has left.
    assert_eq!(patience(ms(0)).come_back(), ms(2_000));
    let short = Patience {
        left: ms(200),
        ..patience(ms(0))
    };
    assert!(
        short.come_back() >= ms(300),
        "not before a place can be free"
    );
}
