//! Further sendings within a budget, over all gateways and in every window.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::pool::RetryBudget;

const ALLOWED: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    min_retries: 60.0,
    window: Duration::from_secs(10),
};

const GATEWAYS: u32 = 12;

/// Everything fails: each request wants two further sendings.
#[test]
fn everything_fails() {
    let mut budgets = vec![RetryBudget::new(ALLOWED); GATEWAYS as usize];
    let mut further: Vec<u64> = Vec::new();
    for second in 0..30 {
        for step in 0..10_u64 {
            let now = Instant((second * 10 + step) * 100_000);
            for budget in &mut budgets {
                budget.count_request(now);
                for _ in 0..2 {
                    if budget.try_acquire(1.0 / f64::from(GATEWAYS), now) {
                        further.push(now.0);
                    }
                }
            }
        }
    }
    let window = 10_000_000;
    // 10 requests a second and gateway: 1,200 in a window.
    let most = further.iter().map(|from| {
        let within = |at: &&u64| (*from..from + window).contains(*at);
        further.iter().filter(within).count()
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= 240 + 60, "{most} in a window");
    assert!(most >= 240, "the budget is used: {most}");
}

#[test]
fn alone_and_unsure() {
    let mut budget = RetryBudget::new(ALLOWED);
    let now = Instant::default();
    budget.count_request(now);
    assert!(!budget.try_acquire(0.0, now), "no floor without a part");
    assert!(budget.try_acquire(1.0, now));
}

#[test]
fn forgets() {
    let mut budget = RetryBudget::new(ALLOWED);
    let taken =
        |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.try_acquire(1.0, now)).count();
    assert_eq!(taken(&mut budget, Instant::default()), 30);
    assert_eq!(taken(&mut budget, Instant(5_000_000)), 0);
    assert_eq!(taken(&mut budget, Instant(10_000_001)), 30);
}

/// Servers that turned everything away got 645 further sendings in 10 s where 643 were allowed. A step's sendings were
/// forgotten when the step's beginning left the window, up to a step too early, so what was sent at its end was given
/// out again within the window.
#[test]
fn no_step_too_early() {
    let mut budget = RetryBudget::new(ALLOWED);
    let at = |millis| Instant::default() + Duration::from_millis(millis);
    for _ in 0..1_000 {
        budget.count_request(at(0));
    }
    // Sent at the end of the first step, and as soon as its beginning has left the window.
    let early = (0..1_000)
        .filter(|_| budget.try_acquire(1.0, at(950)))
        .count();
    let late = (0..1_000)
        .filter(|_| budget.try_acquire(1.0, at(10_000)))
        .count();
    let most = ALLOWED.min_retries + ALLOWED.ratio * 1_000.0;
    let sent = u32::try_from(early + late).expect("few");
    assert!(f64::from(sent) <= most, "{early} and {late} of {most}");
}
