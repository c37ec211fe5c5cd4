//! The requests that callers send.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::engine::EngineSpec;
use super::scenario::Case;

/// The number of customers.
pub(super) const CUSTOMERS: usize = 5;

/// How long requests arrive, in seconds.
pub(super) const ARRIVAL_SECONDS: f64 = 90.0;

/// When faults begin, in seconds.
pub(super) const FAULT_START_SECONDS: f64 = 30.0;

/// How long a burst lasts, in seconds.
const BURST_SECONDS: f64 = 10.0;

/// The requests of a tier.
struct RequestKind {
    rank: u8,
    share: f64,
    prompt: (u64, u64),
    /// The share of a prompt that it has in common with the other requests of its prefix group.
    shared_prefix: f64,
    /// Prefix groups per customer.
    prefix_groups: u64,
    output: (u64, u64),
    first_token_limit_s: f64,
    response_limit_s: f64,
}

/// Short replies, conversations, summaries and annual reports.
const REQUEST_KINDS: [RequestKind; 4] = [
    RequestKind {
        rank: 0,
        share: 0.55,
        prompt: (150, 600),
        shared_prefix: 0.4,
        prefix_groups: 3,
        output: (30, 120),
        first_token_limit_s: 1.9,
        response_limit_s: 10.0,
    },
    RequestKind {
        rank: 1,
        share: 0.30,
        prompt: (500, 3_000),
        shared_prefix: 0.7,
        prefix_groups: 40,
        output: (80, 300),
        first_token_limit_s: 4.0,
        response_limit_s: 30.0,
    },
    RequestKind {
        rank: 2,
        share: 0.12,
        prompt: (3_000, 10_000),
        shared_prefix: 0.5,
        prefix_groups: 20,
        output: (200, 600),
        first_token_limit_s: 20.0,
        response_limit_s: 90.0,
    },
    RequestKind {
        rank: 3,
        share: 0.03,
        prompt: (20_000, 60_000),
        shared_prefix: 0.9,
        prefix_groups: 6,
        output: (400, 1_200),
        first_token_limit_s: 90.0,
        response_limit_s: 180.0,
    },
];

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it arrives, in seconds.
    pub arrival: f64,
    /// The index of the entry that receives it.
    pub entry: usize,
    /// The index of its customer.
    pub customer: usize,
    /// The rank of its tier.
    pub rank: u8,
    /// Prompt tokens.
    pub prompt: u64,
    /// The group of requests with the same prefix.
    pub prefix_group: u64,
    /// The length of that prefix in tokens.
    pub shared_prefix: u64,
    /// Tokens of its response, which the scheduler does not know in advance.
    pub output: u64,
    /// Maximum tokens of its response.
    pub max_output: u64,
    /// How long its first token is useful, in seconds after arrival.
    pub first_token_limit_s: f64,
    /// How long its complete response is useful, in seconds after arrival.
    pub response_limit_s: f64,
}

/// Requests per second that the engines can serve without their caches.
fn capacity(engines: &[EngineSpec]) -> f64 {
    let mean = |range: (u64, u64)| (range.0 + range.1) as f64 / 2.0;
    let prompt: f64 = REQUEST_KINDS
        .iter()
        .map(|kind| kind.share * mean(kind.prompt))
        .sum();
    let output: f64 = REQUEST_KINDS
        .iter()
        .map(|kind| kind.share * mean(kind.output))
        .sum();
    let prefill: f64 = engines.iter().map(|engine| engine.prefill).sum();
    let decode: f64 = engines
        .iter()
        .map(|engine| engine.decode * f64::from(engine.full_speed_batch))
        .sum();
    (prefill / prompt).min(decode / output)
}

/// Returns the requests of `case` in order of arrival.
pub(super) fn requests(
    case: &Case,
    engines: &[EngineSpec],
    entries: usize,
    seed: u64,
) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rate = capacity(engines) * case.load;
    let mut requests = Vec::new();
    let mut time = 0.0;
    while time < ARRIVAL_SECONDS {
        let in_burst = case.burst
            && (FAULT_START_SECONDS..FAULT_START_SECONDS + BURST_SECONDS).contains(&time);
        let current_rate = if in_burst { rate * 4.0 } else { rate };
        let gap: f64 = random.random_range(f64::EPSILON..1.0);
        time -= gap.ln() / current_rate;
        let request = random_request(&mut random, time, entries);
        let flood =
            case.flood && time > FAULT_START_SECONDS && request.customer == 0 && request.rank == 1;
        if !case.top_tier_only || request.rank == 0 {
            requests.push(request.clone());
        }
        if flood {
            // Adds 99 similar requests, spread over the next second.
            for _ in 0..99 {
                let mut copy = request.clone();
                copy.arrival += random.random_range(0.0..1.0);
                copy.entry = random.random_range(0..entries);
                requests.push(copy);
            }
        }
    }
    requests.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    requests
}

fn random_request(random: &mut ChaCha8Rng, arrival: f64, entries: usize) -> Request {
    let mut remaining: f64 = random.random_range(0.0..1.0);
    let mut kind = &REQUEST_KINDS[0];
    for candidate in &REQUEST_KINDS {
        kind = candidate;
        remaining -= candidate.share;
        if remaining < 0.0 {
            break;
        }
    }
    let customer = random.random_range(0..CUSTOMERS);
    let prompt = random.random_range(kind.prompt.0..=kind.prompt.1);
    let prefix_group = random.random_range(0..kind.prefix_groups);
    // The shared prefix of a group has the same length in all its prompts.
    let spread = kind.prompt.1 - kind.prompt.0;
    let shared_prefix = kind.prompt.0 + (prefix_group * 7_919) % spread.max(1);
    let shared_prefix = ((shared_prefix as f64 * kind.shared_prefix) as u64).min(prompt - 1);
    Request {
        arrival,
        entry: random.random_range(0..entries),
        customer,
        rank: kind.rank,
        prompt,
        prefix_group: (customer as u64 * 100 + u64::from(kind.rank)) * 1_000 + prefix_group,
        shared_prefix,
        output: random.random_range(kind.output.0..=kind.output.1),
        max_output: kind.output.1 * 2,
        first_token_limit_s: kind.first_token_limit_s,
        response_limit_s: kind.response_limit_s,
    }
}
