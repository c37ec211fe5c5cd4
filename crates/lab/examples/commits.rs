//! Commits of control with synced disks, one by one and together, and restarts after many changes:
//! `cargo run --release -p curlewlift-lab --example commits`.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people"
)]

use std::time::Duration;
use std::time::Instant;

use curlewlift_lab::site::Site;

/// Commands one after another, and threads that give commands together.
const ALONE: u64 = 100;
const THREADS: u64 = 32;
const EACH: u64 = 20;

fn main() {
    let folder = std::env::temp_dir().join(format!("curlewlift-commits-{}", std::process::id()));
    for replicas in [1, 3] {
        let place = folder.join(format!("commits-{replicas}"));
        let mut site = Site::start(&place, &["a", "b", "c"], replicas, 0);
        site.wait_for_replicas(replicas);
        site.run("create tier t rank=0");
        alone(&site, replicas);
        together(&site, replicas);
    }
    for changes in [500, 5_000] {
        restart(&folder.join(format!("restart-{changes}")), changes);
    }
    let _ = std::fs::remove_dir_all(folder);
}

fn alone(site: &Site, replicas: usize) {
    let operator = site.operator();
    let mut times: Vec<_> = (0..ALONE)
        .map(|number| {
            let began = Instant::now();
            let line = format!("change tier t first_ms={number}");
            operator.run(10_000 + number, &line).expect("it is applied");
            began.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[(times.len() as f64 * part) as usize];
    println!(
        "{replicas} replicas, one by one, a connection each: median {:.2} ms, p95 {:.2} ms",
        at(0.5),
        at(0.95)
    );
}

fn together(site: &Site, replicas: usize) {
    let began = Instant::now();
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let operator = site.operator();
            scope.spawn(move || {
                for number in 0..EACH {
                    let number = 100_000 + thread * 1_000 + number;
                    let line = format!("change tier t first_ms={number}");
                    operator.run(number, &line).expect("it is applied");
                }
            });
        }
    });
    let rate = (THREADS * EACH) as f64 / began.elapsed().as_secs_f64();
    println!("{replicas} replicas, {THREADS} operators at once: {rate:.0} commits a second");
}

fn restart(folder: &std::path::Path, changes: u64) {
    let mut site = Site::start(folder, &["a"], 1, 0);
    site.run("create tier t rank=0");
    let operators: Vec<_> = (0..16).map(|_| site.operator()).collect();
    std::thread::scope(|scope| {
        for (thread, operator) in operators.iter().enumerate() {
            scope.spawn(move || {
                for number in (thread as u64..changes).step_by(16) {
                    let line = format!("change tier t first_ms={number}");
                    operator.run(10_000 + number, &line).expect("it is applied");
                }
            });
        }
    });
    site.kill_control(0);
    let began = Instant::now();
    site.restart_control(0);
    while site.query("show tiers").is_err() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let took = began.elapsed().as_secs_f64();
    println!(
        "restart after {changes} changes: answers after {took:.2} s, an election's wait included"
    );
}
