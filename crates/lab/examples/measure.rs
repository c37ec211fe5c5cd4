//! Prints the measure of the decisions: `cargo run --release -p curlewlift-lab --example measure`.
//!
//! With a number it runs as many seeds (3 without); with a word only cases with that word in their
//! names.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people, far below where it matters"
)]

use curlewlift_lab::measure::Case;
use curlewlift_lab::measure::Rival;
use curlewlift_lab::measure::Score;
use curlewlift_lab::measure::Site;
use curlewlift_lab::measure::Ways;
use curlewlift_lab::measure::run;

const WAYS: [(&str, Ways); 6] = [
    ("ours", Ways::Ours),
    ("ours, no delay", Ways::Instant),
    ("round robin", Ways::Alone(Rival::RoundRobin)),
    ("least requests", Ways::Alone(Rival::LeastRequests)),
    ("two choices", Ways::Alone(Rival::TwoChoices)),
    ("affinity", Ways::Alone(Rival::Affinity)),
];

fn main() {
    let mut seeds = 3;
    let mut word = String::new();
    for argument in std::env::args().skip(1) {
        match argument.parse() {
            Ok(number) => seeds = number,
            Err(_) => word = argument,
        }
    }
    for site in [Site::kursora(), Site::vallebruna()] {
        println!(
            "\n{}: {} engines, {} entries, {seeds} seeds",
            site.name,
            site.engines.len(),
            site.entries
        );
        println!(
            "| case | way | goodput tier 0 | 1 | 2 | 3 | all (min..max) | wasted | first p50 s | p95 | between p50 ms | p95 | least of the others, tier 1 | sheds inverted |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for case in Case::all().iter().filter(|case| case.name.contains(&word)) {
            for (name, ways) in WAYS {
                let scores: Vec<_> = (0..seeds)
                    .map(|seed| run(&site, case, ways, seed))
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
    let all = mean(&Score::total);
    let low = scores.iter().map(Score::total).fold(f64::MAX, f64::min);
    let high = scores.iter().map(Score::total).fold(0.0, f64::max);
    let first = |part| mean(&|s| Score::quantile(&s.first, part));
    let between = |part| 1_000.0 * mean(&|s| Score::quantile(&s.between, part));
    let inversions: u32 = scores.iter().map(|score| score.inversions).sum();
    format!(
        "{} | {all:.3} ({low:.3}..{high:.3}) | {:.4} | {:.2} | {:.2} | {:.0} | {:.0} | {:.3} | {inversions} |",
        tiers.join(" | "),
        mean(&Score::waste),
        first(0.5),
        first(0.95),
        between(0.5),
        between(0.95),
        mean(&Score::others),
    )
}
