//! Rolls versions out in simulated time, good ones and bad ones, under each trouble, and prints a table.
//!
//! `cargo run --release -p curlewlift-lab --example rollouts -- [--seeds N]`

#![allow(
    clippy::cast_precision_loss,
    reason = "figures for people, far below where it matters"
)]

use argh::FromArgs;
use curlewlift_core::rollout::Phase;
use curlewlift_lab::rollout::Fault;
use curlewlift_lab::rollout::Outcome;
use curlewlift_lab::rollout::Scenario;
use curlewlift_lab::rollout::Trouble;
use curlewlift_lab::rollout::run;

/// Rolls versions out in simulated time, and prints what became of them.
#[derive(FromArgs)]
struct Args {
    /// seeds of each kind (100)
    #[argh(option, default = "100")]
    seeds: u64,
    /// threads (as many as there are processors)
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
        let is_wanted = args.only.as_ref().is_none_or(|only| *only == name(fault));
        for trouble in Trouble::ALL.into_iter().filter(|_| is_wanted) {
            line(fault, trouble, args.seeds, threads);
        }
    }
}

fn name(fault: Option<Fault>) -> String {
    fault.map_or("good".to_owned(), |fault| format!("{fault:?}"))
}

/// Plays all seeds, on so many threads.
fn play(fault: Option<Fault>, trouble: Trouble, seeds: u64, threads: u64) -> Vec<Outcome> {
    std::thread::scope(|scope| {
        let parts = (0..threads).map(|thread| {
            let seeds = (0..seeds).filter(move |seed| seed % threads == thread);
            scope.spawn(move || {
                let scenarios = seeds.map(|seed| Scenario::new(fault, trouble, seed));
                scenarios.map(run).collect::<Vec<_>>()
            })
        });
        let parts: Vec<_> = parts.collect();
        let parts = parts.into_iter();
        let outcomes = parts.flat_map(|part| part.join().expect("it ends"));
        outcomes.collect()
    })
}

fn line(fault: Option<Fault>, trouble: Trouble, seeds: u64, threads: u64) {
    let limit = Scenario::new(fault, trouble, 0).length_ms;
    let outcomes = play(fault, trouble, seeds, threads);
    let part = |is: &dyn Fn(&Outcome) -> bool| {
        let count = outcomes.iter().filter(|outcome| is(outcome)).count();
        count as f64 / seeds as f64
    };
    let in_time =
        part(&|outcome| outcome.phase == Some(Phase::Completed) && outcome.ended_ms <= limit);
    let back = part(&|outcome| outcome.phase == Some(Phase::RolledBack));
    let over = outcomes
        .iter()
        .map(|outcome| outcome.max_over_bound)
        .fold(f64::MIN, f64::max);
    let exposed = outcomes.iter().map(|outcome| {
        outcome.new_version_requests as f64 / (outcome.requests as f64 * 0.1 + 50.0)
    });
    let exposed = exposed.fold(0.0, f64::max);
    let after = outcomes
        .iter()
        .map(|outcome| outcome.ms_after_fiftieth)
        .max();
    let cut: u64 = outcomes.iter().map(|outcome| outcome.cut_off).sum();
    let fault = name(fault);
    println!(
        "| {fault} | {trouble:?} | {in_time:.3} | {back:.3} | {exposed:.2} (over {over:.0}) | {} | {cut} |",
        after.unwrap_or(0),
    );
}
