//! The choice of a server against one that looks at every server.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people, far below where it matters"
)]

mod support;

use std::time::Duration;

use curlewlift_core::fleet::Fleet;
use curlewlift_core::fleet::Pick;
use curlewlift_core::fleet::Prefix;
use curlewlift_core::fleet::Work;
use curlewlift_core::unit::Tokens;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use support::requests::at;
use support::requests::fleet;
use support::requests::spec;

/// Servers of one class differ by a quarter octave at the most.
const TOLERANCE: f64 = 1.2;

/// What the test knows of a server.
struct Known {
    prefill: f64,
    decode: f64,
    slots: u32,
    backlog: Vec<(Pick, Work)>,
}

impl Known {
    fn busy(&self) -> f64 {
        let tokens: u64 = self.backlog.iter().map(|(_, work)| work.prompt.0).sum();
        tokens as f64 / self.prefill
    }

    fn whole(&self, work: &Work) -> f64 {
        self.busy() + work.prompt.0 as f64 / self.prefill + work.output.0 as f64 / self.decode
    }
}

fn work(g: &mut Gen) -> Work {
    Work {
        prompt: Tokens(u64::arbitrary(g) % 3_000 + 1),
        output: Tokens(u64::arbitrary(g) % 300 + 1),
        prefixes: Vec::new(),
    }
}

#[test]
fn near_best() {
    for seed in 0..200 {
        let mut g = Gen::from_size_and_seed(100, seed);
        let mut known = Vec::new();
        let mut specs = Vec::new();
        for place in 0..20 {
            let prefill = 1_000 + u64::arbitrary(&mut g) % 10_000;
            let decode = 10 + u64::arbitrary(&mut g) % 60;
            specs.push(spec(&format!("m{place}"), 4, prefill, decode));
            known.push(Known {
                prefill: prefill as f64,
                decode: decode as f64,
                slots: 4,
                backlog: Vec::new(),
            });
        }
        let mut fleet = fleet(specs);
        let backlog = fleet.get_tuning().max_backlog_seconds;
        for step in 0..100 {
            let work = work(&mut g);
            let open = known
                .iter()
                .filter(|k| (k.backlog.len() as u32) < k.slots && k.busy() <= backlog);
            let best = open.map(|k| k.whole(&work)).min_by(f64::total_cmp);
            let pick = fleet.pick(&work);
            assert_eq!(pick.is_some(), best.is_some(), "seed {seed} step {step}");
            let (Some(pick), Some(best)) = (pick, best) else {
                continue;
            };
            let real = known[pick.server_index].whole(&work);
            assert!(
                real <= best * TOLERANCE,
                "seed {seed} step {step}: {real} against {best}"
            );
            fleet.on_sent(&pick, &work, at(step));
            known[pick.server_index].backlog.push((pick, work));
            if bool::arbitrary(&mut g) {
                let place = usize::arbitrary(&mut g) % known.len();
                end_one(&mut fleet, &mut known[place], step);
            }
        }
    }
}

/// Ends a request just as it was expected, so that no rate changes.
fn end_one(fleet: &mut Fleet, known: &mut Known, step: u64) {
    let Some((pick, work)) = known.backlog.pop() else {
        return;
    };
    fleet.on_first_token(&pick, &work, Some(pick.estimate.first_token), at(step));
    fleet.on_ended(&pick, &work, None);
}

#[test]
fn cached_prompt() {
    let mut fleet = fleet(vec![spec("m", 4, 1_000, 50), spec("n", 4, 1_000, 50)]);
    let prefix = Prefix {
        hash: 9,
        length: Tokens(900),
    };
    let mut work = Work {
        prompt: Tokens(1_000),
        output: Tokens(10),
        prefixes: vec![prefix],
    };
    let first = fleet.pick(&work).expect("a server");
    fleet.on_sent(&first, &work, at(0));
    fleet.on_first_token(&first, &work, Some(first.estimate.first_token), at(1_000));
    fleet.on_ended(&first, &work, Some(Tokens(0)));
    let again = fleet.pick(&work).expect("a server");
    assert_eq!(
        (again.server_index, again.cached),
        (first.server_index, Tokens(900))
    );
    // The answer tells that nothing was cached: the belief is corrected (row L9).
    fleet.on_sent(&again, &work, at(2_000));
    fleet.on_ended(&again, &work, Some(Tokens(0)));
    fleet.on_cache_event(&first.name, prefix, false);
    work.prompt = Tokens(1_001);
    assert_eq!(fleet.pick(&work).expect("a server").cached, Tokens(0));
}

#[test]
fn returned_server() {
    let mut fleet = fleet(vec![spec("m", 4, 1_000, 50)]);
    let work = Work {
        prompt: Tokens(1_000),
        output: Tokens(10),
        prefixes: vec![Prefix {
            hash: 9,
            length: Tokens(900),
        }],
    };
    let pick = fleet.pick(&work).expect("a server");
    fleet.on_sent(&pick, &work, at(0));
    fleet.on_first_token(&pick, &work, Some(Duration::from_secs(1)), at(1_000));
    fleet.on_ended(&pick, &work, None);
    fleet.set_servers(Vec::new(), at(2_000));
    assert!(fleet.pick(&work).is_none(), "it has left");
    fleet.set_servers(vec![spec("m", 4, 1_000, 50)], at(3_000));
    let pick = fleet.pick(&work).expect("it is back");
    assert_eq!(
        pick.cached,
        Tokens(0),
        "nothing of the old cache is believed (row M6)"
    );
}
