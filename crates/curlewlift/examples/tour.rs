//! Runs a whole system on loopback in one process under a mixed load, kills and drains some of its processes, and
//! prints a table. See tour.md.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "statistics for display; the values are small enough"
)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use axum::http::Method;
use curlewlift_lab::client::Client;
use curlewlift_lab::client::Reply;
use curlewlift_lab::site::Site;
use curlewlift_lab::standin::Engine;
use curlewlift_lab::standin::Plain;
use curlewlift_lab::standin::Speed;
use tokio::runtime::Runtime;

/// Customers and their tiers.
const CUSTOMERS: [(&str, &str); 5] = [
    ("portal", "live"),
    ("hotels", "live"),
    ("mobile", "quick"),
    ("screens", "steady"),
    ("archive", "later"),
];

/// The duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(12);

/// The interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);

/// The results of the requests of one tier.
#[derive(Clone, Debug, Default)]
struct TierResults {
    offered: u32,
    good: u32,
    shed: u32,
    refused: u32,
    unknown: u32,
    cut_off: u32,
    resent: u32,
}

struct Tour {
    site: Site,
    runtime: Runtime,
    engines: Vec<Engine>,
    plain: Plain,
    results_by_tier: Arc<Mutex<BTreeMap<&'static str, TierResults>>>,
}

/// One request of the load.
struct ScheduledRequest {
    tier: &'static str,
    key: String,
    client: Client,
    payload: Payload,
}

#[derive(Clone)]
enum Payload {
    Chat(String),
    Charge(String),
}

fn main() {
    let stays_up = std::env::args().any(|argument| argument == "--stay");
    let mut tour = start();
    println!(
        "{} entries, 3 control replicas, {} engines",
        6,
        tour.engines.len()
    );
    run(&mut tour);
    report(&tour);
    if stays_up {
        wait_for_interrupt(&tour);
    }
    let folder = folder();
    drop(tour);
    let _ = std::fs::remove_dir_all(folder);
}

/// The folder of the control replicas.
fn folder() -> std::path::PathBuf {
    std::env::temp_dir().join(format!("curlewlift-tour-{}", std::process::id()))
}

fn start() -> Tour {
    let folder = folder();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let mut site = Site::start(&folder, &["hall-a", "hall-b", "hall-c"], 3, 6);
    site.wait_for_replicas(3);
    for (rank, (tier, first_ms)) in [
        ("live", 1_900),
        ("quick", 4_000),
        ("steady", 20_000),
        ("later", 0),
    ]
    .iter()
    .enumerate()
    {
        site.run(&format!(
            "create tier {tier} rank={rank} first_ms={first_ms}"
        ));
    }
    site.run("create service chat model=lm-pool floor=2");
    site.run("create service pay sole=[\"POST /charge\"]");
    for (customer, tier) in CUSTOMERS {
        site.create_customer(customer, tier, "");
    }
    let shapes = [
        (20_000, 200),
        (20_000, 200),
        (10_000, 150),
        (10_000, 150),
        (5_000, 100),
    ];
    let mut engines = Vec::new();
    for (index, (prefill, decode)) in shapes.into_iter().enumerate() {
        let engine = runtime.block_on(Engine::start(Speed { prefill, decode }));
        let fields = format!("slots=8 prefill={prefill} decode={decode}");
        site.create_server(
            &format!("m{}", index + 1),
            "chat",
            engine.address(),
            &fields,
        );
        engines.push(engine);
    }
    let plain = runtime.block_on(Plain::start());
    site.create_server("p1", "pay", plain.address(), "slots=64");
    site.wait_for_revision();
    Tour {
        site,
        runtime,
        engines,
        plain,
        results_by_tier: Arc::default(),
    }
}

/// Returns the request with this number: a short reply, a live stream, a document a hundred times as long, or a charge.
fn request(number: u64) -> ScheduledRequest {
    let index = usize::try_from(number % 5).unwrap_or(0);
    let (customer, tier) = CUSTOMERS[index];
    let text = |words: u64| format!("request {number}: {}", "word ".repeat(words as usize));
    let payload = match (tier, number % 10) {
        (_, 7) => Payload::Charge(format!("charge {number}")),
        ("live", _) => Payload::Chat(Client::chat("lm-pool", &text(20), 20, true)),
        ("quick", _) => Payload::Chat(Client::chat(
            "lm-pool",
            &text(100),
            30,
            number.is_multiple_of(4),
        )),
        ("steady", _) => Payload::Chat(Client::chat("lm-pool", &text(500), 40, false)),
        (_, _) => Payload::Chat(Client::chat("lm-pool", &text(2_000), 80, true)),
    };
    ScheduledRequest {
        tier,
        key: format!("tour-{number}"),
        client: Client::new(&format!("key-{customer}")),
        payload,
    }
}

fn run(tour: &mut Tour) {
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    let entries: Vec<_> = (0..6).map(|index| tour.site.entry(index)).collect();
    let mut number = 0;
    let mut scheduled_events = scheduled_events();
    while started_at.elapsed() < LOAD_DURATION {
        let request = request(number);
        let results = Arc::clone(&tour.results_by_tier);
        let entries = entries.clone();
        let first = usize::try_from(number).unwrap_or(0) % entries.len();
        tasks.push(
            tour.runtime
                .spawn(async move { send(request, &entries, first, &results).await }),
        );
        number += 1;
        if scheduled_events
            .first()
            .is_some_and(|event| started_at.elapsed() >= event.0)
        {
            let (_, description, action) = scheduled_events.remove(0);
            println!(
                "{:5.1} s  {description}",
                started_at.elapsed().as_secs_f64()
            );
            action(tour);
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    tour.runtime.block_on(async {
        for task in tasks {
            let _ = task.await;
        }
        // The engines count unread responses one second after their end.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    });
}

type ScheduledEvent = (Duration, &'static str, fn(&mut Tour));

/// Returns the faults and maintenance actions during the run.
fn scheduled_events() -> Vec<ScheduledEvent> {
    let at = Duration::from_secs;
    vec![
        (at(2), "an engine is drained", |tour| {
            tour.site.run("drain server m2");
        }),
        (at(4), "an entry is killed", |tour| tour.site.kill_entry(5)),
        (at(7), "the leading control replica is killed", |tour| {
            tour.site.kill_control(0);
        }),
        (at(9), "an entry is stopped", |tour| {
            drop(tour.site.stop_entry(4));
        }),
    ]
}

/// Sends a request as a caller does: after a refusal or the loss of an entry it retries at the next address with the
/// same key.
async fn send(
    request: ScheduledRequest,
    entries: &[std::net::SocketAddr],
    first_entry: usize,
    results_by_tier: &Mutex<BTreeMap<&'static str, TierResults>>,
) {
    let mut results = TierResults {
        offered: 1,
        ..TierResults::default()
    };
    for attempt in 0..6 {
        let address = entries[(first_entry + attempt) % entries.len()];
        let reply = send_once(&request, address).await;
        let code = reply.header("curlewlift-code").to_owned();
        let has_run =
            reply.body.contains("outcome=run") || reply.header("curlewlift-outcome") == "run";
        if reply.whole && has_run {
            results.good = 1;
            break;
        }
        let retries_elsewhere =
            reply.status == 0 || !reply.whole || code == "7002" || code == "7004";
        if retries_elsewhere {
            results.resent += 1;
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        }
        match code.as_str() {
            "3001" => results.shed = 1,
            "5003" => results.unknown = 1,
            _ if reply.header("curlewlift-outcome") == "not-run" => results.refused = 1,
            _ => results.cut_off = 1,
        }
        break;
    }
    let mut results_by_tier = results_by_tier.lock().expect("the lock is not poisoned");
    let tier_results = results_by_tier.entry(request.tier).or_default();
    tier_results.offered += results.offered;
    tier_results.good += results.good;
    tier_results.shed += results.shed;
    tier_results.refused += results.refused;
    tier_results.unknown += results.unknown;
    tier_results.cut_off += results.cut_off;
    tier_results.resent += results.resent;
}

async fn send_once(request: &ScheduledRequest, address: std::net::SocketAddr) -> Reply {
    let headers = [
        ("idempotency-key", request.key.as_str()),
        ("curlewlift-deadline-ms", "20000"),
    ];
    match &request.payload {
        Payload::Chat(body) => request.client.post(address, &headers, body.clone()).await,
        Payload::Charge(body) => {
            let path = "/services/pay/charge";
            request
                .client
                .send(address, Method::POST, path, &headers, body.clone())
                .await
        }
    }
}

fn report(tour: &Tour) {
    let results_by_tier = tour
        .results_by_tier
        .lock()
        .expect("the lock is not poisoned");
    println!(
        "\n{:8} {:>8} {:>8} {:>8} {:>5} {:>8} {:>8} {:>8} {:>7}",
        "tier", "offered", "good", "goodput", "shed", "refused", "unknown", "resent", "cut off"
    );
    for (tier, _) in [("live", 0), ("quick", 1), ("steady", 2), ("later", 3)] {
        let results = results_by_tier.get(tier).cloned().unwrap_or_default();
        let goodput = 100.0 * f64::from(results.good) / f64::from(results.offered.max(1));
        println!(
            "{tier:8} {:>8} {:>8} {goodput:>7.1}% {:>5} {:>8} {:>8} {:>8} {:>7}",
            results.offered,
            results.good,
            results.shed,
            results.refused,
            results.unknown,
            results.resent,
            results.cut_off
        );
    }
    let all_stats: Vec<_> = tour.engines.iter().map(Engine::stats).collect();
    let prefill: u64 = all_stats.iter().map(|stats| stats.prefill).sum();
    let wasted: u64 = all_stats.iter().map(|stats| stats.wasted).sum();
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for (id, count) in all_stats.into_iter().flat_map(|stats| stats.runs) {
        *runs.entry(id).or_default() += count;
    }
    let charges = tour.plain.calls();
    let duplicated = runs
        .values()
        .chain(charges.values())
        .filter(|count| **count > 1)
        .count();
    let cut_off: u32 = results_by_tier
        .values()
        .map(|results| results.cut_off)
        .sum();
    let wasted_percent = 100.0 * wasted as f64 / prefill.max(1) as f64;
    println!("\nprefill {prefill} tokens, wasted {wasted} ({wasted_percent:.2}%)");
    println!("run more than once: {duplicated}, cut off: {cut_off}");
}

fn wait_for_interrupt(tour: &Tour) {
    let entry = tour.site.entry(0);
    println!("\nThe system stays up; stop it with Ctrl-C. Try:");
    println!(
        "  curl -sN http://{entry}/v1/chat/completions -H 'authorization: Bearer key-portal' -H 'idempotency-key: mine' -d '{{\"model\":\"lm-pool\",\"stream\":true,\"max_tokens\":9,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    let addresses: Vec<_> = tour
        .site
        .rpc_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    println!(
        "  target/release/curlewlift timeline --from {} --customer portal --key mine",
        addresses.join(",")
    );
    loop {
        std::thread::sleep(Duration::from_hours(1));
    }
}
