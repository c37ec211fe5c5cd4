//! Prints what each part of the choice is worth, with one part off at a time:
//! `cargo run --release -p curlewlift-lab --example ablations`.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people, far below where it matters"
)]

use curlewlift_core::fleet::Tuning;
use curlewlift_lab::measure::Case;
use curlewlift_lab::measure::Score;
use curlewlift_lab::measure::Site;
use curlewlift_lab::measure::Ways;
use curlewlift_lab::measure::run;

const SEEDS: u64 = 3;
const CASES: [&str; 5] = ["1.0", "2.0", "burst", "slow engine", "2.0, slow"];

fn parts() -> Vec<(&'static str, Tuning)> {
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
    for site in [Site::kursora(), Site::vallebruna()] {
        let cases = Case::all();
        for case in cases.iter().filter(|case| CASES.contains(&case.name)) {
            for (name, tuning) in parts() {
                let run = |seed| run(&site, case, Ways::Tuned(tuning), seed);
                let scores: Vec<Score> = (0..SEEDS).map(run).collect();
                let mean = |value: &dyn Fn(&Score) -> f64| {
                    scores.iter().map(value).sum::<f64>() / scores.len() as f64
                };
                println!(
                    "| {} | {} | {name} | {:.3} | {:.3} | {:.4} | {:.2} |",
                    site.name,
                    case.name,
                    mean(&|s| s.goodput(0)),
                    mean(&Score::total),
                    mean(&Score::waste),
                    mean(&|s| Score::quantile(&s.first, 0.95)),
                );
            }
        }
    }
}
