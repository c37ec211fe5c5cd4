//! Compares the scheduling decisions of the product with common load balancers, in simulated time:
//! `cargo run --release -p curlewlift-lab --example measure`.
//!
//! A number as argument sets the number of seeds (default 3); a word selects the cases with that word in their names.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "statistics for display; the values are small enough"
)]

use curlewlift_lab::measure::Balancer;
use curlewlift_lab::measure::Case;
use curlewlift_lab::measure::Deployment;
use curlewlift_lab::measure::Score;
use curlewlift_lab::measure::Strategy;
use curlewlift_lab::measure::run;

const STRATEGIES: [(&str, Strategy); 6] = [
    ("ours", Strategy::Product),
    ("ours, no delay", Strategy::ProductWithoutDelay),
    ("round robin", Strategy::PerEntry(Balancer::RoundRobin)),
    (
        "least requests",
        Strategy::PerEntry(Balancer::LeastRequests),
    ),
    ("two choices", Strategy::PerEntry(Balancer::TwoChoices)),
    ("affinity", Strategy::PerEntry(Balancer::Affinity)),
];

fn main() {
    let mut seeds = 3;
    let mut filter = String::new();
    for argument in std::env::args().skip(1) {
        match argument.parse() {
            Ok(number) => seeds = number,
            Err(_) => filter = argument,
        }
    }
    for deployment in [Deployment::kursora(), Deployment::vallebruna()] {
        println!(
            "\n{}: {} engines, {} entries, {seeds} seeds",
            deployment.name,
            deployment.engines.len(),
            deployment.entries
        );
        println!(
            "| case | strategy | goodput tier 0 | 1 | 2 | 3 | all (min..max) | wasted | first p50 s | p95 | between p50 ms | p95 | least of the others, tier 1 | sheds inverted |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for case in Case::all()
            .iter()
            .filter(|case| case.name.contains(&filter))
        {
            for (name, strategy) in STRATEGIES {
                let scores: Vec<_> = (0..seeds)
                    .map(|seed| run(&deployment, case, strategy, seed))
                    .collect();
                println!("| {} | {name} | {}", case.name, row(&scores));
            }
        }
    }
}

fn row(scores: &[Score]) -> String {
    let mean =
        |value: &dyn Fn(&Score) -> f64| scores.iter().map(value).sum::<f64>() / scores.len() as f64;
    let tiers: Vec<_> = (0..4)
        .map(|tier| format!("{:.3}", mean(&|s| s.goodput(tier))))
        .collect();
    let all = mean(&Score::total_goodput);
    let min = scores
        .iter()
        .map(Score::total_goodput)
        .fold(f64::MAX, f64::min);
    let max = scores.iter().map(Score::total_goodput).fold(0.0, f64::max);
    let first = |fraction| mean(&|s| Score::quantile(&s.first_token_seconds, fraction));
    let between = |fraction| 1_000.0 * mean(&|s| Score::quantile(&s.token_gap_seconds, fraction));
    let inversions: u32 = scores.iter().map(|score| score.inversions).sum();
    format!(
        "{} | {all:.3} ({min:.3}..{max:.3}) | {:.4} | {:.2} | {:.2} | {:.0} | {:.0} | {:.3} | {inversions} |",
        tiers.join(" | "),
        mean(&Score::wasted_share),
        first(0.5),
        first(0.95),
        between(0.5),
        between(0.95),
        mean(&Score::min_served_share),
    )
}
