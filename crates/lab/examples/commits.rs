//! Measures commits of the control replicas with synced disks, sequential and concurrent, and restarts after many
//! changes:
//! `cargo run --release -p curlewlift-lab --example commits`.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "statistics for display"
)]

use std::time::Duration;
use std::time::Instant;

use curlewlift_lab::site::Site;

/// The number of sequential commands.
const SEQUENTIAL_COMMANDS: u64 = 100;

/// The number of operators that run commands concurrently, each in a thread of its own.
const OPERATORS: u64 = 32;

/// The number of commands per concurrent operator.
const COMMANDS_PER_OPERATOR: u64 = 20;

fn main() {
    let folder = std::env::temp_dir().join(format!("curlewlift-commits-{}", std::process::id()));
    for replicas in [1, 3] {
        let site_folder = folder.join(format!("commits-{replicas}"));
        let mut site = Site::start(&site_folder, &["a", "b", "c"], replicas, 0);
        site.wait_for_replicas(replicas);
        site.run("create tier t rank=0");
        run_sequential(&site, replicas);
        run_concurrent(&site, replicas);
    }
    for changes in [500, 5_000] {
        restart(&folder.join(format!("restart-{changes}")), changes);
    }
    let _ = std::fs::remove_dir_all(folder);
}

fn run_sequential(site: &Site, replicas: usize) {
    let operator = site.operator();
    let mut times: Vec<_> = (0..SEQUENTIAL_COMMANDS)
        .map(|number| {
            let started_at = Instant::now();
            let line = format!("change tier t first_ms={number}");
            operator
                .run(10_000 + number, &line)
                .expect("the command is applied");
            started_at.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| times[(times.len() as f64 * fraction) as usize];
    println!(
        "{replicas} replicas, sequential commands, one connection each: median {:.2} ms, p95 {:.2} ms",
        quantile(0.5),
        quantile(0.95)
    );
}

fn run_concurrent(site: &Site, replicas: usize) {
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for operator_index in 0..OPERATORS {
            let operator = site.operator();
            scope.spawn(move || {
                for number in 0..COMMANDS_PER_OPERATOR {
                    let number = 100_000 + operator_index * 1_000 + number;
                    let line = format!("change tier t first_ms={number}");
                    operator.run(number, &line).expect("the command is applied");
                }
            });
        }
    });
    let rate = (OPERATORS * COMMANDS_PER_OPERATOR) as f64 / started_at.elapsed().as_secs_f64();
    println!("{replicas} replicas, {OPERATORS} concurrent operators: {rate:.0} commits per second");
}

fn restart(folder: &std::path::Path, changes: u64) {
    let mut site = Site::start(folder, &["a"], 1, 0);
    site.run("create tier t rank=0");
    let operators: Vec<_> = (0..16).map(|_| site.operator()).collect();
    std::thread::scope(|scope| {
        for (operator_index, operator) in operators.iter().enumerate() {
            scope.spawn(move || {
                for number in (operator_index as u64..changes).step_by(16) {
                    let line = format!("change tier t first_ms={number}");
                    operator
                        .run(10_000 + number, &line)
                        .expect("the command is applied");
                }
            });
        }
    });
    site.kill_control(0);
    let started_at = Instant::now();
    site.restart_control(0);
    while site.query("show tiers").is_err() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let seconds = started_at.elapsed().as_secs_f64();
    println!(
        "restart after {changes} changes: responds after {seconds:.2} s, including the election timeout"
    );
}
