//! Compares three methods to judge a version by its responses, on the same random responses: the product's own
//! sequential test, a fixed window, and a posterior over the whole trial.
//!
//! `cargo run --release -p curlewlift-lab --example verdicts`

#![allow(
    clippy::cast_precision_loss,
    reason = "statistics for display; the values are small enough"
)]

use std::collections::VecDeque;

use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::rollout::Baseline;
use curlewlift_core::rollout::Judge;
use curlewlift_core::rollout::Sample;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The number of random sequences per version.
const SEEDS: u64 = 2_000;

/// Responses of the version on trial: a tenth of 150 requests per second for 12 s.
const RESPONSES: usize = 180;

/// Servers of the version on trial.
const SERVERS: usize = 10;

/// The size of the fixed window, and by how much the rate of bad responses in it must exceed the normal rate.
const WINDOW_TEST: (usize, f64) = (40, 0.2);

/// By how many standard deviations the posterior must exceed the normal rate plus 2 %.
const POSTERIOR_DEVIATIONS: f64 = 3.1;

/// A version: its normal rate of bad responses, its rate with the fault, and after how many responses the fault starts.
struct Version {
    name: &'static str,
    normal_rate: f64,
    faulty_rate: f64,
    fault_starts_at: usize,
}

const VERSIONS: [Version; 6] = [
    version("good, 1 in 100 fail anyway", 0.01, 0.01, 0),
    version("good, 12 in 100 fail anyway", 0.12, 0.12, 0),
    version("4 in 10 fail", 0.01, 0.4, 0),
    version("4 in 10 fail, 12 in 100 anyway", 0.12, 0.4, 0),
    version("half fail after 60 answers", 0.01, 0.5, 60),
    version("half fail after 120, 12 in 100 anyway", 0.12, 0.5, 120),
];

const fn version(
    name: &'static str,
    normal_rate: f64,
    faulty_rate: f64,
    fault_starts_at: usize,
) -> Version {
    Version {
        name,
        normal_rate,
        faulty_rate,
        fault_starts_at,
    }
}

fn main() {
    println!("| version | method | rejected | bad responses until then, mean and maximum |");
    println!("|---|---|---|---|");
    for version in &VERSIONS {
        print_row(version, "odds (the product's)", sequential_test);
        print_row(version, "window of 40", window);
        print_row(version, "posterior of all", posterior);
    }
}

/// Returns after how many responses a version is rejected, given the responses, the normal rate of bad ones and a seed.
type Method = fn(&[bool], f64, u64) -> Option<usize>;

fn print_row(version: &Version, name: &str, method: Method) {
    let mut bad_counts = Vec::new();
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let responses = (0..RESPONSES).map(|index| {
            let rate = if index < version.fault_starts_at {
                version.normal_rate
            } else {
                version.faulty_rate
            };
            random.random_bool(rate)
        });
        let responses: Vec<bool> = responses.collect();
        if let Some(count) = method(&responses, version.normal_rate, seed) {
            bad_counts.push(responses[..count].iter().filter(|is_bad| **is_bad).count());
        }
    }
    let rejected_share = bad_counts.len() as f64 / SEEDS as f64;
    let mean = bad_counts.iter().sum::<usize>() as f64 / bad_counts.len().max(1) as f64;
    let max = bad_counts.iter().max().copied().unwrap_or(0);
    println!(
        "| {} | {name} | {rejected_share:.4} | {mean:.1}, {max} |",
        version.name
    );
}

fn sample(server: usize, is_bad: bool) -> Sample {
    let outcome = if is_bad {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered {
            first_byte: std::time::Duration::from_millis(10),
            gap: None,
        }
    };
    Sample {
        rule: "chat".into(),
        server: format!("s{server}").into(),
        outcome,
    }
}

fn sequential_test(responses: &[bool], normal_rate: f64, seed: u64) -> Option<usize> {
    let mut random = SmallRng::seed_from_u64(seed ^ 1);
    let mut baseline = Baseline::default();
    for server in 0..600 {
        baseline.record(&sample(server % 100, random.random_bool(normal_rate)));
    }
    let mut judge = Judge::default();
    responses.iter().enumerate().find_map(|(index, is_bad)| {
        judge.record(&sample(index % SERVERS, *is_bad), &baseline, SERVERS, true);
        judge.evidence_against().map(|_| index + 1)
    })
}

fn window(responses: &[bool], normal_rate: f64, _: u64) -> Option<usize> {
    let mut newest = VecDeque::new();
    responses.iter().enumerate().find_map(|(index, is_bad)| {
        newest.push_back(*is_bad);
        if newest.len() < WINDOW_TEST.0 {
            return None;
        }
        let bad = newest.iter().filter(|is_bad| **is_bad).count() as f64;
        newest.pop_front();
        (bad / WINDOW_TEST.0 as f64 > normal_rate + WINDOW_TEST.1).then_some(index + 1)
    })
}

/// A beta posterior, by its mean and standard deviation.
fn posterior(responses: &[bool], normal_rate: f64, _: u64) -> Option<usize> {
    let (mut bad, mut good) = (1.0, 1.0);
    responses.iter().enumerate().find_map(|(index, is_bad)| {
        *(if *is_bad { &mut bad } else { &mut good }) += 1.0;
        let all: f64 = bad + good;
        let mean = bad / all;
        let deviation = (mean * (1.0 - mean) / (all + 1.0)).sqrt();
        (mean - deviation * POSTERIOR_DEVIATIONS > normal_rate + 0.02).then_some(index + 1)
    })
}
