//! Three ways to judge a version by its answers, on the same drawn answers: the product's own, a fixed window,
//! and a posterior of the whole trial.
//!
//! `cargo run --release -p curlewlift-lab --example verdicts`

#![allow(
    clippy::cast_precision_loss,
    reason = "figures for people, far below where it matters"
)]

use std::collections::VecDeque;

use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::rollout::Baseline;
use curlewlift_core::rollout::Judge;
use curlewlift_core::rollout::Sample;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEEDS: u64 = 2_000;

/// Answers of the version on trial: a tenth of 150 requests a second in 12 s.
const ANSWERS: usize = 180;

/// Servers of the version on trial.
const SERVERS: usize = 10;

/// The answers that a fixed window holds, and by how much more of them must be bad.
const WINDOW: (usize, f64) = (40, 0.2);

/// How many deviations the posterior must lie above what is usual and a little more.
const SURE: f64 = 3.1;

/// A version: so many answers are bad, and so many before it turns.
struct Version {
    name: &'static str,
    usual: f64,
    bad: f64,
    turns: usize,
}

const VERSIONS: [Version; 6] = [
    version("good, 1 in 100 fail anyway", 0.01, 0.01, 0),
    version("good, 12 in 100 fail anyway", 0.12, 0.12, 0),
    version("4 in 10 fail", 0.01, 0.4, 0),
    version("4 in 10 fail, 12 in 100 anyway", 0.12, 0.4, 0),
    version("half fail after 60 answers", 0.01, 0.5, 60),
    version("half fail after 120, 12 in 100 anyway", 0.12, 0.5, 120),
];

const fn version(name: &'static str, usual: f64, bad: f64, turns: usize) -> Version {
    Version {
        name,
        usual,
        bad,
        turns,
    }
}

fn main() {
    println!("| version | way | condemned | bad answers until then, mean and most |");
    println!("|---|---|---|---|");
    for version in &VERSIONS {
        line(version, "odds (the product's)", odds);
        line(version, "window of 40", window);
        line(version, "posterior of all", posterior);
    }
}

/// After how many answers one is condemned, by the answers and the usual part of bad ones.
type Way = fn(&[bool], f64, u64) -> Option<usize>;

fn line(version: &Version, name: &str, way: Way) {
    let mut counts = Vec::new();
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let answers = (0..ANSWERS).map(|at| {
            let often = if at < version.turns {
                version.usual
            } else {
                version.bad
            };
            random.random_bool(often)
        });
        let answers: Vec<bool> = answers.collect();
        if let Some(at) = way(&answers, version.usual, seed) {
            counts.push(answers[..at].iter().filter(|is_bad| **is_bad).count());
        }
    }
    let condemned = counts.len() as f64 / SEEDS as f64;
    let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    let most = counts.iter().max().copied().unwrap_or(0);
    println!(
        "| {} | {name} | {condemned:.4} | {mean:.1}, {most} |",
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

fn odds(answers: &[bool], usual: f64, seed: u64) -> Option<usize> {
    let mut random = SmallRng::seed_from_u64(seed ^ 1);
    let mut baseline = Baseline::default();
    for server in 0..600 {
        baseline.record(&sample(server % 100, random.random_bool(usual)));
    }
    let mut judge = Judge::default();
    answers.iter().enumerate().find_map(|(at, is_bad)| {
        judge.record(&sample(at % SERVERS, *is_bad), &baseline, SERVERS, true);
        judge.evidence_against().map(|_| at + 1)
    })
}

fn window(answers: &[bool], usual: f64, _: u64) -> Option<usize> {
    let mut newest = VecDeque::new();
    answers.iter().enumerate().find_map(|(at, is_bad)| {
        newest.push_back(*is_bad);
        if newest.len() < WINDOW.0 {
            return None;
        }
        let bad = newest.iter().filter(|is_bad| **is_bad).count() as f64;
        newest.pop_front();
        (bad / WINDOW.0 as f64 > usual + WINDOW.1).then_some(at + 1)
    })
}

/// A beta posterior by its mean and deviation.
fn posterior(answers: &[bool], usual: f64, _: u64) -> Option<usize> {
    let (mut bad, mut good) = (1.0, 1.0);
    answers.iter().enumerate().find_map(|(at, is_bad)| {
        *(if *is_bad { &mut bad } else { &mut good }) += 1.0;
        let all: f64 = bad + good;
        let mean = bad / all;
        let deviation = (mean * (1.0 - mean) / (all + 1.0)).sqrt();
        (mean - deviation * SURE > usual + 0.02).then_some(at + 1)
    })
}
