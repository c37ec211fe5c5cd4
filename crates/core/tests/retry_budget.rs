//! Retries stay within the budget, over all gateways and in every window.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::GatewayShare;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::pool::RetryBudget;

const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    min_retries: 60.0,
    window: Duration::from_secs(10),
};

const GATEWAYS: u32 = 12;

/// How many of the minimum number of retries all gateways together may use.
const GATEWAYS_MIN_RETRIES: usize = 12;

/// Sets a gateway's share by a reply to a poll that was sent at `now`.
fn hold(budget: &mut RetryBudget, share: f64, now: Instant) {
    let announced = GatewayShare {
        fraction: share,
        never_held: false,
    };
    budget.set_share(&announced, now, now);
}

fn acquire_all(budget: &mut RetryBudget, now: Instant) -> usize {
    (0..10_000).filter(|_| budget.try_acquire(now)).count()
}

/// When everything fails, each request needs two retries.
#[test]
fn everything_fails() {
    let mut budgets = vec![RetryBudget::new(ALLOWANCE); GATEWAYS as usize];
    let mut retries: Vec<u64> = Vec::new();
    for second in 0..30 {
        for step in 0..10_u64 {
            let now = Instant((second * 10 + step) * 100_000);
            for budget in &mut budgets {
                hold(budget, 1.0 / f64::from(GATEWAYS), now);
                budget.count_request(now);
                for _ in 0..2 {
                    if budget.try_acquire(now) {
                        retries.push(now.0);
                    }
                }
            }
        }
    }
    let window = 10_000_000;
    // Each gateway takes 10 requests a second: 1,200 in a window.
    let per_window = retries.iter().map(|start| {
        let within = |at: &&u64| (*start..start + window).contains(*at);
        retries.iter().filter(within).count()
    });
    let max_retries = per_window.max().unwrap_or(0);
    assert!(max_retries <= 240 + 60, "{max_retries} in a window");
    assert!(
        max_retries >= 240,
        "the budget is not used up: {max_retries}"
    );
}

/// A share counts as used for one window after it is gained: its former holder may have used it.
#[test]
fn minimum_needs_share() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    let at = |millis| Instant::default() + Duration::from_millis(millis);
    budget.count_request(at(0));
    assert!(
        !budget.try_acquire(at(20_000)),
        "no minimum number of retries without a share of it"
    );
    hold(&mut budget, 1.0, at(20_000));
    hold(&mut budget, 1.0, at(29_000));
    assert!(!budget.try_acquire(at(29_999)));
    assert_eq!(acquire_all(&mut budget, at(30_100)), GATEWAYS_MIN_RETRIES);
}

/// A share that has expired, or was taken away, is gained anew.
#[test]
fn share_regained() {
    let at = |millis| Instant::default() + Duration::from_millis(millis);
    for lost in [false, true] {
        let mut budget = RetryBudget::new(ALLOWANCE);
        hold(&mut budget, 1.0, at(0));
        if lost {
            hold(&mut budget, 0.0, at(9_000));
            hold(&mut budget, 1.0, at(9_100));
        }
        hold(&mut budget, 1.0, at(19_000));
        hold(&mut budget, 1.0, at(28_000));
        assert!(!budget.try_acquire(at(19_050)), "lost: {lost}");
        assert!(budget.try_acquire(at(29_050)), "lost: {lost}");
    }
}

#[test]
fn window_passes() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    for second in 0..30 {
        hold(&mut budget, 1.0, Instant(second * 1_000_000));
    }
    assert_eq!(
        acquire_all(&mut budget, Instant(11_049_999)),
        GATEWAYS_MIN_RETRIES
    );
    assert_eq!(acquire_all(&mut budget, Instant(16_000_000)), 0);
    assert_eq!(acquire_all(&mut budget, Instant(21_049_998)), 0);
    assert_eq!(
        acquire_all(&mut budget, Instant(21_100_000)),
        GATEWAYS_MIN_RETRIES
    );
}

/// A step's retries count until the last of them leaves the window. They once left with the beginning of the step, so
/// that retries made at its end were granted again within the same window: servers that rejected everything got 645
/// retries in 10 s where 643 were allowed.
#[test]
fn no_step_too_early() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    let at = |millis| Instant::default() + Duration::from_millis(millis);
    hold(&mut budget, 1.0, at(0));
    for _ in 0..1_000 {
        budget.count_request(at(0));
    }
    // Retries at the end of the first step, and as soon as its beginning has left the window.
    let early = acquire_all(&mut budget, at(950));
    let late = acquire_all(&mut budget, at(10_000));
    let at_step_end = acquire_all(&mut budget, at(10_949));
    let max_retries = ALLOWANCE.min_retries + ALLOWANCE.ratio * 1_000.0;
    let total = u32::try_from(early + late + at_step_end).expect("count fits into u32");
    assert!(
        f64::from(total) <= max_retries,
        "{early}, {late} and {at_step_end} of {max_retries}"
    );
}

/// A request pays for retries in the window in which it was sent and in the next one, half of its credit in each. One
/// that was read late counts as of when it was sent.
#[test]
fn credit_expires() {
    let at = |millis| Instant::default() + Duration::from_millis(millis);
    let mut budget = RetryBudget::new(ALLOWANCE);
    for _ in 0..100 {
        budget.count_request(at(20_000));
    }
    for (millis, expected) in [(20_000, 10), (29_999, 10), (30_000, 0)] {
        assert_eq!(
            acquire_all(&mut budget.clone(), at(millis)),
            expected,
            "{millis} ms"
        );
    }
    assert!(budget.try_acquire(at(25_000)));
    assert_eq!(acquire_all(&mut budget.clone(), at(29_900)), 9);
    budget.count_request(at(45_000));
    for _ in 0..100 {
        budget.count_request(at(41_000));
    }
    assert_eq!(acquire_all(&mut budget, at(50_900)), 10);
}
