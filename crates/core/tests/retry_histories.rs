//! Retries over all gateways and the hub, in every window, through any order of faults.

mod support;

use std::time::Duration;

use support::gateways::World;
use support::retries::Load;
use support::retries::Record;

const GATEWAYS: usize = 12;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A load that is spread evenly over some gateways.
fn even(gateways: &[usize], total: f64, failing_percent: u64) -> Load {
    #[allow(clippy::cast_precision_loss)]
    let rate = total / gateways.len() as f64;
    let rates = (0..GATEWAYS).map(|index| if gateways.contains(&index) { rate } else { 0.0 });
    Load {
        rates: rates.collect(),
        failing_percent,
    }
}

fn all() -> Vec<usize> {
    (0..GATEWAYS).collect()
}

#[track_caller]
fn assert_within_budget(record: &Record, seed: u64) {
    let excess = record.excess();
    assert!(excess.is_none(), "seed {seed}: {excess:?}");
}

/// What half of the gateways retried for their requests is not granted again to the others when callers move there.
#[test]
fn callers_move() {
    for seed in 0..4 {
        let mut world = World::new(GATEWAYS, seed);
        let mut record = Record::default();
        world.retry_for(seconds(20), &even(&all(), 150.0, 0), &mut record);
        world.retry_for(seconds(3), &even(&all(), 150.0, 100), &mut record);
        world.retry_for(
            seconds(9),
            &even(&[0, 1, 2, 3, 4, 5], 150.0, 100),
            &mut record,
        );
        assert_within_budget(&record, seed);
    }
}

/// The retries that a gateway has sent count after it has restarted.
#[test]
fn gateways_restart() {
    for seed in 0..4 {
        let mut world = World::new(GATEWAYS, seed);
        let mut record = Record::default();
        world.retry_for(seconds(20), &even(&all(), 150.0, 0), &mut record);
        for _ in 0..3 {
            world.retry_for(seconds(3), &even(&all(), 150.0, 100), &mut record);
            world.restart_all();
        }
        world.retry_for(seconds(3), &even(&all(), 150.0, 100), &mut record);
        assert_within_budget(&record, seed);
    }
}

/// Attempts fail in the last part of a burst that is shorter than a window.
#[test]
fn burst_ends() {
    for (seed, length) in (4..12).enumerate() {
        let seed = seed as u64;
        let mut world = World::new(GATEWAYS, seed);
        let mut record = Record::default();
        world.retry_for(seconds(15), &even(&all(), 0.0, 0), &mut record);
        world.retry_for(seconds(length), &even(&all(), 600.0, 0), &mut record);
        let failing = Duration::from_millis(2_500);
        world.retry_for(failing, &even(&all(), 600.0, 100), &mut record);
        world.retry_for(seconds(10), &even(&all(), 0.0, 100), &mut record);
        assert_within_budget(&record, seed);
    }
}

/// Gateways are suspended with retries that the hub has granted, and send them when it has granted as many again.
#[test]
fn suspended_with_grants() {
    for seed in 0..4 {
        let mut world = World::new(GATEWAYS, seed);
        let mut record = Record::default();
        world.retry_for(seconds(12), &even(&all(), 0.0, 0), &mut record);
        let (first, second): (Vec<_>, Vec<_>) = all().into_iter().partition(|index| index % 2 == 0);
        let burst = Duration::from_millis(400);
        world.retry_for(burst, &even(&first, 200.0, 100), &mut record);
        for index in &first {
            world.suspend(*index, seconds(13));
        }
        world.retry_for(seconds(12), &even(&second, 0.0, 0), &mut record);
        world.retry_for(burst, &even(&second, 120.0, 100), &mut record);
        world.retry_for(seconds(2), &even(&second, 0.0, 100), &mut record);
        assert_within_budget(&record, seed);
    }
}

/// Three gateways, of which the third joins 3 s after the others; the hub is lost before a window has passed.
///
/// Returns what the third retries then, and the record of all. The others send `earlier` requests a second each that
/// all fail, before the hub is lost.
fn retries_of_newcomer(seed: u64, earlier: f64) -> (u32, Record) {
    let mut world = World::new(3, seed);
    let mut record = Record::default();
    let load = |rates: [f64; 3]| Load {
        rates: rates.to_vec(),
        failing_percent: 100,
    };
    world.cut(2, true);
    let others = load([earlier, earlier, 0.0]);
    world.retry_for(seconds(3), &others, &mut record);
    world.cut(2, false);
    world.retry_for(seconds(2), &others, &mut record);
    world.stop_hub();
    world.retry_for(seconds(3), &load([0.0; 3]), &mut record);
    let before = world.now();
    world.retry_for(seconds(2), &load([0.0, 0.0, 5.0]), &mut record);
    (record.retries_since(before), record)
}

/// A gateway that joins when the others hold all shares may retry without the hub at once, as they state that they have
/// used nothing of what they gave up. Otherwise it had no retry for a window.
#[test]
fn newcomer_retries() {
    for seed in 0..8 {
        let (retries, record) = retries_of_newcomer(seed, 0.0);
        assert_within_budget(&record, seed);
        // Its share of the minimum: a third of a fifth of 62.
        assert!(retries >= 4, "seed {seed}: {retries}");
    }
}

/// What the others have used of the shares that they gave up is not used again.
#[test]
fn newcomer_of_used_shares() {
    for seed in 0..8 {
        let (retries, record) = retries_of_newcomer(seed, 20.0);
        assert_within_budget(&record, seed);
        assert!(retries < 4, "seed {seed}: {retries}");
    }
}

/// Gateways and hubs restart, are suspended and cut off, shares and callers move, grants and replies are lost.
#[test]
fn any_history() {
    let count = std::env::var("HISTORIES").map_or(40, |count| count.parse().expect("a number"));
    for (seed, gateways) in (0..count).zip([3, 12, 30, 70].into_iter().cycle()) {
        let mut world = World::new(gateways, seed);
        let mut record = Record::default();
        for step in 0..50 {
            if step > 5 {
                world.inject_fault();
                world.suspend_some();
            }
            let load = world.random_retry_load();
            world.retry_for(Duration::from_millis(900), &load, &mut record);
        }
        assert_within_budget(&record, seed);
    }
}

/// While everything fails, the budget is used to four fifths, wherever the callers are.
#[test]
fn budget_used() {
    let hosts = [all(), vec![0], vec![0, 5, 7]];
    for (seed, (hosts, total)) in hosts
        .iter()
        .flat_map(|hosts| [20.0, 150.0, 600.0].map(|total| (hosts, total)))
        .enumerate()
    {
        let seed = seed as u64;
        let mut world = World::new(GATEWAYS, seed);
        let mut record = Record::default();
        world.retry_for(seconds(25), &even(hosts, total, 0), &mut record);
        world.retry_for(seconds(20), &even(hosts, total, 100), &mut record);
        assert_within_budget(&record, seed);
        let used = f64::from(record.retries_since(seconds(35)));
        let requests = f64::from(record.requests_since(seconds(35)));
        let allowance = support::retries::ALLOWANCE;
        let allowed = allowance.min_retries + allowance.ratio * requests;
        assert!(
            used >= 0.8 * allowed,
            "{total} requests a second at {hosts:?}: {used} of {allowed}"
        );
    }
}
