//! Simulates roll-outs of good and bad versions under each kind of trouble, and prints a table.
//!
//! `cargo run --release -p curlewlift-lab --example rollouts -- [--seeds N]`

#![allow(
    clippy::cast_precision_loss,
    reason = "statistics for display; the values are small enough"
)]

use argh::FromArgs;
use curlewlift_core::rollout::Phase;
use curlewlift_lab::rollout::Fault;
use curlewlift_lab::rollout::Outcome;
use curlewlift_lab::rollout::Scenario;
use curlewlift_lab::rollout::Trouble;
use curlewlift_lab::rollout::run;

/// Simulates roll-outs, and prints their outcomes.
#[derive(FromArgs)]
struct Args {
    /// seeds per version and trouble (100)
    #[argh(option, default = "100")]
    seeds: u64,
    /// threads (default: one per processor)
    #[argh(option)]
    threads: Option<u64>,
    /// only the version with this fault, or `good`
    #[argh(option)]
    only: Option<String>,
}

fn main() {
    let args: Args = argh::from_env();
    let processors = std::thread::available_parallelism().map_or(1, |count| count.get() as u64);
    let threads = args.threads.unwrap_or(processors).max(1);
    println!(
        "| version | trouble | completed in time | rolled back | exposed of bound, most | ms after the 50th bad, most | cut |"
    );
    println!("|---|---|---|---|---|---|---|");
    let faults = std::iter::once(None).chain(Fault::ALL.into_iter().map(Some));
    for fault in faults {
        let is_selected = args.only.as_ref().is_none_or(|only| *only == name(fault));
        for trouble in Trouble::ALL.into_iter().filter(|_| is_selected) {
            print_row(fault, trouble, args.seeds, threads);
        }
    }
}

fn name(fault: Option<Fault>) -> String {
    fault.map_or("good".to_owned(), |fault| format!("{fault:?}"))
}

/// Simulates all seeds on `threads` threads.
fn run_seeds(fault: Option<Fault>, trouble: Trouble, seeds: u64, threads: u64) -> Vec<Outcome> {
    std::thread::scope(|scope| {
        let handles = (0..threads).map(|thread| {
            let seeds = (0..seeds).filter(move |seed| seed % threads == thread);
            scope.spawn(move || {
                let scenarios = seeds.map(|seed| Scenario::new(fault, trouble, seed));
                scenarios.map(run).collect::<Vec<_>>()
            })
        });
        let handles: Vec<_> = handles.collect();
        let handles = handles.into_iter();
        let outcomes = handles.flat_map(|handle| handle.join().expect("the thread does not panic"));
        outcomes.collect()
    })
}

fn print_row(fault: Option<Fault>, trouble: Trouble, seeds: u64, threads: u64) {
    let limit = Scenario::new(fault, trouble, 0).length_ms;
    let outcomes = run_seeds(fault, trouble, seeds, threads);
    let share = |holds: &dyn Fn(&Outcome) -> bool| {
        let count = outcomes.iter().filter(|outcome| holds(outcome)).count();
        count as f64 / seeds as f64
    };
    let in_time =
        share(&|outcome| outcome.phase == Some(Phase::Completed) && outcome.ended_ms <= limit);
    let rolled_back = share(&|outcome| outcome.phase == Some(Phase::RolledBack));
    let max_over_bound = outcomes
        .iter()
        .map(|outcome| outcome.max_over_bound)
        .fold(f64::MIN, f64::max);
    let max_exposure = outcomes.iter().map(|outcome| {
        outcome.new_version_requests as f64 / (outcome.requests as f64 * 0.1 + 50.0)
    });
    let max_exposure = max_exposure.fold(0.0, f64::max);
    let max_ms_after_fiftieth = outcomes
        .iter()
        .map(|outcome| outcome.ms_after_fiftieth)
        .max();
    let cut_off: u64 = outcomes.iter().map(|outcome| outcome.cut_off).sum();
    let fault = name(fault);
    println!(
        "| {fault} | {trouble:?} | {in_time:.3} | {rolled_back:.3} | {max_exposure:.2} (over {max_over_bound:.0}) | {} | {cut_off} |",
        max_ms_after_fiftieth.unwrap_or(0),
    );
}
