//! A whole system on loopback in one process, under a mixed load, with some parts killed and
//! drained on the way; prints a table. See tour.md.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people, far below where it matters"
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

/// How long the load lasts.
const LOAD: Duration = Duration::from_secs(12);

/// Between two requests.
const GAP: Duration = Duration::from_millis(12);

/// What came of one tier's requests.
#[derive(Clone, Debug, Default)]
struct Row {
    offered: u32,
    good: u32,
    shed: u32,
    refused: u32,
    unknown: u32,
    cut: u32,
    resent: u32,
}

struct Tour {
    site: Site,
    runtime: Runtime,
    engines: Vec<Engine>,
    plain: Plain,
    rows: Arc<Mutex<BTreeMap<&'static str, Row>>>,
}

/// One request of the load.
struct Call {
    tier: &'static str,
    key: String,
    client: Client,
    kind: Kind,
}

#[derive(Clone)]
enum Kind {
    Chat(String),
    Charge(String),
}

fn main() {
    let stay = std::env::args().any(|argument| argument == "--stay");
    let mut tour = start();
    println!(
        "{} entries, 3 control replicas, {} engines",
        6,
        tour.engines.len()
    );
    run(&mut tour);
    report(&tour);
    if stay {
        wait(&tour);
    }
    let folder = folder();
    drop(tour);
    let _ = std::fs::remove_dir_all(folder);
}

/// Where the control replicas keep their files.
fn folder() -> std::path::PathBuf {
    std::env::temp_dir().join(format!("curlewlift-tour-{}", std::process::id()))
}

fn start() -> Tour {
    let folder = folder();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let mut site = Site::start(&folder, &["hall-a", "hall-b", "hall-c"], 3, 6);
    site.wait_for_replicas(3);
    for (rank, (tier, first)) in [
        ("live", 1_900),
        ("quick", 4_000),
        ("steady", 20_000),
        ("later", 0),
    ]
    .iter()
    .enumerate()
    {
        site.run(&format!("create tier {tier} rank={rank} first_ms={first}"));
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
    for (place, (prefill, decode)) in shapes.into_iter().enumerate() {
        let engine = runtime.block_on(Engine::start(Speed { prefill, decode }));
        let fields = format!("slots=8 prefill={prefill} decode={decode}");
        site.create_server(
            &format!("m{}", place + 1),
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
        rows: Arc::default(),
    }
}

/// Short replies, live streams, documents a hundred times as long, and charges.
fn call(number: u64) -> Call {
    let place = usize::try_from(number % 5).unwrap_or(0);
    let (customer, tier) = CUSTOMERS[place];
    let text = |words: u64| format!("request {number}: {}", "word ".repeat(words as usize));
    let kind = match (tier, number % 10) {
        (_, 7) => Kind::Charge(format!("charge {number}")),
        ("live", _) => Kind::Chat(Client::chat("lm-pool", &text(20), 20, true)),
        ("quick", _) => Kind::Chat(Client::chat(
            "lm-pool",
            &text(100),
            30,
            number.is_multiple_of(4),
        )),
        ("steady", _) => Kind::Chat(Client::chat("lm-pool", &text(500), 40, false)),
        (_, _) => Kind::Chat(Client::chat("lm-pool", &text(2_000), 80, true)),
    };
    Call {
        tier,
        key: format!("tour-{number}"),
        client: Client::new(&format!("key-{customer}")),
        kind,
    }
}

fn run(tour: &mut Tour) {
    let began = Instant::now();
    let mut tasks = Vec::new();
    let entries: Vec<_> = (0..6).map(|place| tour.site.entry(place)).collect();
    let mut number = 0;
    let mut steps = steps();
    while began.elapsed() < LOAD {
        let call = call(number);
        let rows = Arc::clone(&tour.rows);
        let entries = entries.clone();
        let first = usize::try_from(number).unwrap_or(0) % entries.len();
        tasks.push(
            tour.runtime
                .spawn(async move { send(call, &entries, first, &rows).await }),
        );
        number += 1;
        if steps.first().is_some_and(|step| began.elapsed() >= step.0) {
            let (_, what, act) = steps.remove(0);
            println!("{:5.1} s  {what}", began.elapsed().as_secs_f64());
            act(tour);
        }
        std::thread::sleep(GAP);
    }
    tour.runtime.block_on(async {
        for task in tasks {
            let _ = task.await;
        }
        // The engines count what nobody took a second after its end.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    });
}

type Step = (Duration, &'static str, fn(&mut Tour));

/// What goes wrong on the way.
fn steps() -> Vec<Step> {
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

/// Sends a request as a caller does: on a refusal or a lost entry the next address, same key.
async fn send(
    call: Call,
    entries: &[std::net::SocketAddr],
    first: usize,
    rows: &Mutex<BTreeMap<&'static str, Row>>,
) {
    let mut row = Row {
        offered: 1,
        ..Row::default()
    };
    for attempt in 0..6 {
        let to = entries[(first + attempt) % entries.len()];
        let reply = once(&call, to).await;
        let code = reply.header("curlewlift-code").to_owned();
        let ended =
            reply.body.contains("outcome=run") || reply.header("curlewlift-outcome") == "run";
        if reply.whole && ended {
            row.good = 1;
            break;
        }
        let elsewhere = reply.status == 0 || !reply.whole || code == "7002" || code == "7004";
        if elsewhere {
            row.resent += 1;
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        }
        match code.as_str() {
            "3001" => row.shed = 1,
            "5003" => row.unknown = 1,
            _ if reply.header("curlewlift-outcome") == "not-run" => row.refused = 1,
            _ => row.cut = 1,
        }
        break;
    }
    let mut rows = rows.lock().expect("no thread panics with it");
    let sum = rows.entry(call.tier).or_default();
    sum.offered += row.offered;
    sum.good += row.good;
    sum.shed += row.shed;
    sum.refused += row.refused;
    sum.unknown += row.unknown;
    sum.cut += row.cut;
    sum.resent += row.resent;
}

async fn once(call: &Call, to: std::net::SocketAddr) -> Reply {
    let headers = [
        ("idempotency-key", call.key.as_str()),
        ("curlewlift-deadline-ms", "20000"),
    ];
    match &call.kind {
        Kind::Chat(body) => call.client.post(to, &headers, body.clone()).await,
        Kind::Charge(body) => {
            let path = "/services/pay/charge";
            call.client
                .send(to, Method::POST, path, &headers, body.clone())
                .await
        }
    }
}

fn report(tour: &Tour) {
    let rows = tour.rows.lock().expect("no thread panics with it");
    println!(
        "\n{:8} {:>8} {:>8} {:>8} {:>5} {:>8} {:>8} {:>8} {:>7}",
        "tier", "offered", "good", "goodput", "shed", "refused", "unknown", "resent", "cut off"
    );
    for (tier, _) in [("live", 0), ("quick", 1), ("steady", 2), ("later", 3)] {
        let row = rows.get(tier).cloned().unwrap_or_default();
        let goodput = 100.0 * f64::from(row.good) / f64::from(row.offered.max(1));
        println!(
            "{tier:8} {:>8} {:>8} {goodput:>7.1}% {:>5} {:>8} {:>8} {:>8} {:>7}",
            row.offered, row.good, row.shed, row.refused, row.unknown, row.resent, row.cut
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
    let doubled = runs
        .values()
        .chain(charges.values())
        .filter(|count| **count > 1)
        .count();
    let cut: u32 = rows.values().map(|row| row.cut).sum();
    let share = 100.0 * wasted as f64 / prefill.max(1) as f64;
    println!("\nprefill {prefill} tokens, wasted {wasted} ({share:.2}%)");
    println!("doubled = {doubled}, cut off = {cut}");
}

fn wait(tour: &Tour) {
    let entry = tour.site.entry(0);
    println!("\nstays up; end it with Ctrl-C. Try:");
    println!(
        "  curl -sN http://{entry}/v1/chat/completions -H 'authorization: Bearer key-portal' -H 'idempotency-key: mine' -d '{{\"model\":\"lm-pool\",\"stream\":true,\"max_tokens\":9,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    let all: Vec<_> = tour
        .site
        .rpc_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    println!(
        "  target/release/curlewlift timeline --from {} --customer portal --key mine",
        all.join(",")
    );
    loop {
        std::thread::sleep(Duration::from_hours(1));
    }
}
