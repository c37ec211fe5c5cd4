//! What callers send.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::case::Case;
use super::engine::Build;

/// Customers.
pub(super) const CUSTOMERS: usize = 5;

/// Seconds in which requests arrive.
pub(super) const ARRIVALS: f64 = 90.0;

/// When trouble begins, in seconds.
pub(super) const TROUBLE: f64 = 30.0;

/// How long a burst lasts, in seconds.
const BURST: f64 = 10.0;

/// What a tier's requests are like.
struct Kind {
    rank: u8,
    share: f64,
    prompt: (u64, u64),
    /// The part of a prompt that other requests of its group begin with too.
    common: f64,
    /// Groups a customer.
    groups: u64,
    output: (u64, u64),
    first: f64,
    whole: f64,
}

/// Short replies, conversations, digests, annual reports.
const KINDS: [Kind; 4] = [
    Kind {
        rank: 0,
        share: 0.55,
        prompt: (150, 600),
        common: 0.4,
        groups: 3,
        output: (30, 120),
        first: 1.9,
        whole: 10.0,
    },
    Kind {
        rank: 1,
        share: 0.30,
        prompt: (500, 3_000),
        common: 0.7,
        groups: 40,
        output: (80, 300),
        first: 4.0,
        whole: 30.0,
    },
    Kind {
        rank: 2,
        share: 0.12,
        prompt: (3_000, 10_000),
        common: 0.5,
        groups: 20,
        output: (200, 600),
        first: 20.0,
        whole: 90.0,
    },
    Kind {
        rank: 3,
        share: 0.03,
        prompt: (20_000, 60_000),
        common: 0.9,
        groups: 6,
        output: (400, 1_200),
        first: 90.0,
        whole: 180.0,
    },
];

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it arrives, in seconds.
    pub arrival: f64,
    /// At which entry.
    pub entry: usize,
    /// Whose it is.
    pub customer: usize,
    /// Its tier.
    pub rank: u8,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// What its prompt begins with.
    pub group: u64,
    /// How much of the prompt that is.
    pub common: u64,
    /// Tokens that its answer will have; nobody knows before.
    pub output: u64,
    /// Tokens that its answer may have.
    pub most: u64,
    /// Seconds in which its first token is of use.
    pub first: f64,
    /// Seconds in which its whole answer is of use.
    pub whole: f64,
}

/// Requests a second that the engines carry without their caches.
fn capacity(engines: &[Build]) -> f64 {
    let mean = |range: (u64, u64)| (range.0 + range.1) as f64 / 2.0;
    let prompt: f64 = KINDS
        .iter()
        .map(|kind| kind.share * mean(kind.prompt))
        .sum();
    let output: f64 = KINDS
        .iter()
        .map(|kind| kind.share * mean(kind.output))
        .sum();
    let prefill: f64 = engines.iter().map(|engine| engine.prefill).sum();
    let decode: f64 = engines
        .iter()
        .map(|engine| engine.decode * f64::from(engine.knee))
        .sum();
    (prefill / prompt).min(decode / output)
}

/// The requests of `case`, in the order of their arrival.
pub(super) fn requests(case: &Case, engines: &[Build], entries: usize, seed: u64) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rate = capacity(engines) * case.load;
    let mut requests = Vec::new();
    let mut time = 0.0;
    while time < ARRIVALS {
        let in_burst = case.burst && (TROUBLE..TROUBLE + BURST).contains(&time);
        let now = if in_burst { rate * 4.0 } else { rate };
        let gap: f64 = random.random_range(f64::EPSILON..1.0);
        time -= gap.ln() / now;
        let request = draw(&mut random, time, entries);
        let flood = case.floods && time > TROUBLE && request.customer == 0 && request.rank == 1;
        if !case.alone || request.rank == 0 {
            requests.push(request.clone());
        }
        if flood {
            // Ninety-nine more of the same kind, spread over the next second.
            for _ in 0..99 {
                let mut more = request.clone();
                more.arrival += random.random_range(0.0..1.0);
                more.entry = random.random_range(0..entries);
                requests.push(more);
            }
        }
    }
    requests.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    requests
}

fn draw(random: &mut ChaCha8Rng, arrival: f64, entries: usize) -> Request {
    let mut left: f64 = random.random_range(0.0..1.0);
    let mut kind = &KINDS[0];
    for candidate in &KINDS {
        kind = candidate;
        left -= candidate.share;
        if left < 0.0 {
            break;
        }
    }
    let customer = random.random_range(0..CUSTOMERS);
    let prompt = random.random_range(kind.prompt.0..=kind.prompt.1);
    let group = random.random_range(0..kind.groups);
    // A group's common beginning has one length, whatever the rest of the prompt is.
    let spread = kind.prompt.1 - kind.prompt.0;
    let common = kind.prompt.0 + (group * 7_919) % spread.max(1);
    let common = ((common as f64 * kind.common) as u64).min(prompt - 1);
    Request {
        arrival,
        entry: random.random_range(0..entries),
        customer,
        rank: kind.rank,
        prompt,
        group: (customer as u64 * 100 + u64::from(kind.rank)) * 1_000 + group,
        common,
        output: random.random_range(kind.output.0..=kind.output.1),
        most: kind.output.1 * 2,
        first: kind.first,
        whole: kind.whole,
    }
}
