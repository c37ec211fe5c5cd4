//! Prints the effect of each part of the scheduling decision, with one part switched off at a time:
//! `cargo run --release -p curlewlift-lab --example ablations`.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "statistics for display; the values are small enough"
)]

use curlewlift_core::fleet::Tuning;
use curlewlift_lab::measure::Case;
use curlewlift_lab::measure::Deployment;
use curlewlift_lab::measure::Score;
use curlewlift_lab::measure::Strategy;
use curlewlift_lab::measure::run;

const SEEDS: u64 = 3;
const CASES: [&str; 5] = ["1.0", "2.0", "burst", "slow engine", "2.0, slow"];

fn tunings() -> Vec<(&'static str, Tuning)> {
    let all = Tuning::default();
    vec![
        ("all parts", all),
        (
            "no limit on the backlog",
            Tuning {
                max_backlog_seconds: 1e9,
                ..all
            },
        ),
        (
            "no cache belief",
            Tuning {
                track_cached_prefixes: false,
                ..all
            },
        ),
        (
            "no learning of speeds",
            Tuning {
                learn_speed: false,
                ..all
            },
        ),
        (
            "no caution",
            Tuning {
                safety_margin: 0.0,
                ..all
            },
        ),
    ]
}

fn main() {
    println!("| site | case | part off | tier 0 | all | wasted | first p95 s |");
    println!("|---|---|---|---|---|---|---|");
    for deployment in [Deployment::kursora(), Deployment::vallebruna()] {
        let cases = Case::all();
        for case in cases.iter().filter(|case| CASES.contains(&case.name)) {
            for (name, tuning) in tunings() {
                let run = |seed| run(&deployment, case, Strategy::ProductTuned(tuning), seed);
                let scores: Vec<Score> = (0..SEEDS).map(run).collect();
                let mean = |value: &dyn Fn(&Score) -> f64| {
                    scores.iter().map(value).sum::<f64>() / scores.len() as f64
                };
                println!(
                    "| {} | {} | {name} | {:.3} | {:.3} | {:.4} | {:.2} |",
                    deployment.name,
                    case.name,
                    mean(&|s| s.goodput(0)),
                    mean(&Score::total_goodput),
                    mean(&Score::wasted_share),
                    mean(&|s| Score::quantile(&s.first_token_seconds, 0.95)),
                );
            }
        }
    }
}
