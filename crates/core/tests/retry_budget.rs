//! Retries stay within the budget, over all gateways and in every window.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::pool::RetryBudget;

const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    min_retries: 60.0,
    window: Duration::from_secs(10),
};

const GATEWAYS: u32 = 12;

/// When everything fails, each request needs two retries.
#[test]
fn everything_fails() {
    let mut budgets = vec![RetryBudget::new(ALLOWANCE); GATEWAYS as usize];
    let mut retries: Vec<u64> = Vec::new();
    for second in 0..30 {
        for step in 0..10_u64 {
            let now = Instant((second * 10 + step) * 100_000);
            for budget in &mut budgets {
                budget.count_request(now);
                for _ in 0..2 {
                    if budget.try_acquire(1.0 / f64::from(GATEWAYS), now) {
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

#[test]
fn minimum_needs_share() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    let now = Instant::default();
    budget.count_request(now);
    assert!(
        !budget.try_acquire(0.0, now),
        "no minimum number of retries without a share of it"
    );
    assert!(budget.try_acquire(1.0, now));
}

#[test]
fn window_passes() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    let acquired =
        |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.try_acquire(1.0, now)).count();
    assert_eq!(acquired(&mut budget, Instant::default()), 30);
    assert_eq!(acquired(&mut budget, Instant(5_000_000)), 0);
    assert_eq!(acquired(&mut budget, Instant(10_000_001)), 30);
}

/// A step's retries count until the last of them leaves the window. They once left with the beginning of the step, so
/// that retries made at its end were granted again within the same window: servers that rejected everything got 645
/// retries in 10 s where 643 were allowed.
#[test]
fn no_step_too_early() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    let at = |millis| Instant::default() + Duration::from_millis(millis);
    for _ in 0..1_000 {
        budget.count_request(at(0));
    }
    // Retries at the end of the first step, and as soon as its beginning has left the window.
    let early = (0..1_000)
        .filter(|_| budget.try_acquire(1.0, at(950)))
        .count();
    let late = (0..1_000)
        .filter(|_| budget.try_acquire(1.0, at(10_000)))
        .count();
    let max_retries = ALLOWANCE.min_retries + ALLOWANCE.ratio * 1_000.0;
    let total = u32::try_from(early + late).expect("count fits into u32");
    assert!(
        f64::from(total) <= max_retries,
        "{early} and {late} of {max_retries}"
    );
}
