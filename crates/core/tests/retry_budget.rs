//! Further sendings within a budget, over all gateways and in every window.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::pool::Allowed;
use curlewlift_core::pool::Budget;

const ALLOWED: Allowed = Allowed {
    ratio: 0.2,
    floor: 60.0,
    window: Duration::from_secs(10),
};

const GATEWAYS: u32 = 12;

/// Everything fails: each request wants two further sendings.
#[test]
fn everything_fails() {
    let mut budgets = vec![Budget::new(ALLOWED); GATEWAYS as usize];
    let mut further: Vec<u64> = Vec::new();
    for second in 0..30 {
        for step in 0..10_u64 {
            let now = Instant((second * 10 + step) * 100_000);
            for budget in &mut budgets {
                budget.first(now);
                for _ in 0..2 {
                    if budget.take(1.0 / f64::from(GATEWAYS), now) {
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
    let mut budget = Budget::new(ALLOWED);
    let now = Instant::default();
    budget.first(now);
    assert!(!budget.take(0.0, now), "no floor without a part");
    assert!(budget.take(1.0, now));
}

#[test]
fn forgets() {
    let mut budget = Budget::new(ALLOWED);
    let taken = |budget: &mut Budget, now| (0..100).filter(|_| budget.take(1.0, now)).count();
    assert_eq!(taken(&mut budget, Instant::default()), 42);
    assert_eq!(taken(&mut budget, Instant(5_000_000)), 0);
    assert_eq!(taken(&mut budget, Instant(10_000_001)), 42);
}
