//! The server that the index picks, compared with a full scan of all servers.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "test numbers far below the precision of the target types"
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

/// Rates of servers in one class differ by at most a quarter octave, a factor of 1.19.
const TOLERANCE: f64 = 1.2;

/// The test's own model of a server.
struct ModelServer {
    prefill: f64,
    decode: f64,
    slots: u32,
    backlog: Vec<(Pick, Work)>,
}

impl ModelServer {
    fn backlog_seconds(&self) -> f64 {
        let tokens: u64 = self.backlog.iter().map(|(_, work)| work.prompt.0).sum();
        tokens as f64 / self.prefill
    }

    fn total_seconds(&self, work: &Work) -> f64 {
        self.backlog_seconds()
            + work.prompt.0 as f64 / self.prefill
            + work.output.0 as f64 / self.decode
    }
}

fn random_work(g: &mut Gen) -> Work {
    Work {
        prompt: Tokens(u64::arbitrary(g) % 3_000 + 1),
        output: Tokens(u64::arbitrary(g) % 300 + 1),
        prefixes: Vec::new(),
    }
}

#[test]
fn close_to_best() {
    for seed in 0..200 {
        let mut g = Gen::from_size_and_seed(100, seed);
        let mut model = Vec::new();
        let mut specs = Vec::new();
        for index in 0..20 {
            let prefill = 1_000 + u64::arbitrary(&mut g) % 10_000;
            let decode = 10 + u64::arbitrary(&mut g) % 60;
            specs.push(spec(&format!("m{index}"), 4, prefill, decode));
            model.push(ModelServer {
                prefill: prefill as f64,
                decode: decode as f64,
                slots: 4,
                backlog: Vec::new(),
            });
        }
        let mut fleet = fleet(specs);
        let backlog = fleet.get_tuning().max_backlog_seconds;
        for step in 0..100 {
            let work = random_work(&mut g);
            let open = model
                .iter()
                .filter(|k| (k.backlog.len() as u32) < k.slots && k.backlog_seconds() <= backlog);
            let best = open.map(|k| k.total_seconds(&work)).min_by(f64::total_cmp);
            let pick = fleet.pick(&work);
            assert_eq!(pick.is_some(), best.is_some(), "seed {seed} step {step}");
            let (Some(pick), Some(best)) = (pick, best) else {
                continue;
            };
            let actual = model[pick.server_index].total_seconds(&work);
            assert!(
                actual <= best * TOLERANCE,
                "seed {seed} step {step}: {actual} against {best}"
            );
            fleet.on_sent(&pick, &work, at(step));
            model[pick.server_index].backlog.push((pick, work));
            if bool::arbitrary(&mut g) {
                let index = usize::arbitrary(&mut g) % model.len();
                finish_request(&mut fleet, &mut model[index], step);
            }
        }
    }
}

/// Finishes a request in exactly the expected time, so that no measured rate changes.
fn finish_request(fleet: &mut Fleet, model: &mut ModelServer, step: u64) {
    let Some((pick, work)) = model.backlog.pop() else {
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
    let second = fleet.pick(&work).expect("a server");
    assert_eq!(
        (second.server_index, second.cached),
        (first.server_index, Tokens(900))
    );
    // The server reports that nothing was cached, which corrects the estimate.
    fleet.on_sent(&second, &work, at(2_000));
    fleet.on_ended(&second, &work, Some(Tokens(0)));
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
    assert!(fleet.pick(&work).is_none(), "the server was removed");
    fleet.set_servers(vec![spec("m", 4, 1_000, 50)], at(3_000));
    let pick = fleet.pick(&work).expect("the returned server");
    assert_eq!(
        pick.cached,
        Tokens(0),
        "the cache of a returned server is assumed to be empty"
    );
}
