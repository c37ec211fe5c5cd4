//! Measures how cost grows with size, for docs/CAPACITY.md:
//! `cargo run --release -p curlewlift-lab --example slopes [part] [max entries]`.
//!
//! The part is one of owner, claims, leases, changes, views, requests and processes; by default all parts run. The
//! memory figures of a part are only valid if it runs alone.
//!
//! The first parts run on one thread without sockets. The part `processes` runs a control replica and up to the given
//! number of entries (default 340) on loopback in this process.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "statistics for display; the values are small enough"
)]

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant as Wall;

use curlewlift_core::claim::Claim;
use curlewlift_core::claim::Record as ClaimRecord;
use curlewlift_core::claim::Status;
use curlewlift_core::claim::Table;
use curlewlift_core::clock::Instant;
use curlewlift_core::fleet::Fleet;
use curlewlift_core::fleet::Spec;
use curlewlift_core::id;
use curlewlift_core::queue::Action;
use curlewlift_core::queue::Queue;
use curlewlift_core::queue::Report;
use curlewlift_core::queue::Request;
use curlewlift_core::queue::Ticket;
use curlewlift_core::state::Command;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Record;
use curlewlift_core::unit::Rate;
use curlewlift_core::unit::Tokens;
use curlewlift_core::view::Grantor;
use curlewlift_core::view::LeaseTiming;
use curlewlift_core::view::Member;
use curlewlift_core::view::Renewal;
use curlewlift_core::view::Roster;
use curlewlift_lab::client::Client;
use curlewlift_lab::site::Site;
use curlewlift_lab::standin::Engine;
use curlewlift_lab::standin::Speed;
use curlewlift_lab::usage::cpu_seconds;
use curlewlift_lab::usage::loopback_bytes;
use curlewlift_lab::usage::memory_bytes;
use curlewlift_lab::usage::thread_cpu_seconds;

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let max_entries = arguments
        .iter()
        .find_map(|text| text.parse().ok())
        .unwrap_or(340);
    let selected = arguments.iter().find(|text| text.parse::<usize>().is_err());
    let is_selected = |name: &str| selected.is_none_or(|selected| selected == name);
    if is_selected("claims") {
        claims();
    }
    if is_selected("owner") {
        owner();
    }
    if is_selected("leases") {
        leases();
    }
    if is_selected("changes") {
        changes();
    }
    if is_selected("views") {
        views();
    }
    if is_selected("requests") {
        requests();
    }
    if is_selected("processes") {
        processes(max_entries);
    }
}

/// Prints the points of a measurement and a straight line fitted to them.
fn print_fit(name: &str, unit: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let errors = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs() / y.abs().max(1e-9));
    let max_error_percent = 100.0 * errors.fold(0.0, f64::max);
    let formatted: Vec<_> = points.iter().map(|(x, y)| format!("{x}: {y:.2}")).collect();
    println!("{name} [{unit}]: {}", formatted.join(", "));
    println!("  = {intercept:.3} + {slope:.5} x, maximum error {max_error_percent:.0}%");
}

/// Returns the mean time of one call of `operation` in microseconds.
fn time(count: u32, mut operation: impl FnMut()) -> f64 {
    let started_at = Wall::now();
    for _ in 0..count {
        operation();
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn host(index: u64) -> id::Host {
    format!("e{index}").parse().expect("a valid name")
}

fn member(index: u64) -> Member {
    Member {
        host: host(index),
        hall: format!("h{}", index % 6).parse().expect("a valid name"),
        rpc: format!("127.0.0.1:{}", 10_000 + index)
            .parse()
            .expect("a valid address"),
        http: format!("127.0.0.1:{}", 20_000 + index)
            .parse()
            .expect("a valid address"),
        incarnation: index,
        leaving: false,
        owns: true,
    }
}

fn owner() {
    println!("\n# owner of a service's queue");
    let mut points = Vec::new();
    for servers in [10, 100, 600, 1_800] {
        points.push((f64::from(servers), request_time(servers, 1_000)));
    }
    print_fit("time per request, by servers, 1,000 queued", "us", &points);
    let mut points = Vec::new();
    for waiting in [1_000, 100_000] {
        let before = memory_bytes();
        let micros = request_time(1_800, waiting);
        let bytes = memory_bytes().saturating_sub(before) as f64 / f64::from(waiting);
        println!(
            "  {waiting} queued: {micros:.2} us per request, {bytes:.0} bytes of new memory each"
        );
        points.push((f64::from(waiting), micros));
    }
    print_fit(
        "time per request, by queued requests, 1,800 servers",
        "us",
        &points,
    );
}

fn request_time(servers: u32, waiting: u32) -> f64 {
    let mut fleet = Fleet::default();
    let spec = |index: u32| Spec {
        name: format!("m{index}").parse().expect("a valid name"),
        hall: format!("h{}", index % 6).parse().expect("a valid name"),
        slots: 16,
        prefill: Rate([8_000, 4_000, 2_000][index as usize % 3]),
        decode: Rate(40),
    };
    fleet.set_servers((0..servers).map(spec).collect(), Instant::default());
    let mut queue = Queue::new(fleet, Tokens(u64::MAX));
    let customers: Vec<id::Customer> = (0..470)
        .map(|n| format!("u{n}").parse().expect("a valid name"))
        .collect();
    let mut running = VecDeque::new();
    let mut number = 0;
    let mut now = Instant::default();
    let mut submit = |queue: &mut Queue, running: &mut VecDeque<Ticket>, now: Instant| {
        number += 1;
        let far_deadline = now + Duration::from_secs(100_000) + Duration::from_micros(number);
        let request = Request {
            ticket: Ticket {
                host: host(number % 340),
                number: id::Ticket(number),
            },
            customer: customers[number as usize % customers.len()].clone(),
            weight: 1,
            max_waiting: u32::MAX,
            rank: u8::try_from(number % 4).expect("fits"),
            prompt: Tokens(200 + number % 500),
            max_output: Tokens(200),
            prefixes: Vec::new(),
            attempt: 0,
            first_token_deadline: far_deadline,
            deadline: far_deadline,
        };
        queue.submit(request, now);
        for action in queue.take_actions() {
            if let Action::Grant { ticket, .. } = action {
                running.push_back(ticket);
            }
        }
    };
    while queue.waiting_count() < waiting as usize {
        submit(&mut queue, &mut running, now);
    }
    time(20_000, || {
        now = now + Duration::from_micros(260);
        submit(&mut queue, &mut running, now);
        let Some(ticket) = running.pop_front() else {
            return;
        };
        queue.report(&ticket, Report::FirstToken, now);
        let output = Tokens(100);
        queue.report(
            &ticket,
            Report::Ended {
                output,
                cached: None,
            },
            now,
        );
        for action in queue.take_actions() {
            if let Action::Grant { ticket, .. } = action {
                running.push_back(ticket);
            }
        }
    })
}

fn claims() {
    println!("\n# claims of request keys, at one of three replicas");
    let own_member = member(0);
    let roster = Roster {
        number: id::View(1),
        members: vec![own_member.clone()],
    };
    let mut table = Table::new(own_member, Duration::from_secs(100_000), usize::MAX);
    table.apply_view(&roster, &Roster::default(), Instant::default());
    let mut key = 0_u128;
    let before = memory_bytes();
    let mut points = Vec::new();
    for count in [100_000_u32, 200_000, 400_000, 800_000] {
        let micros = time(
            count - u32::try_from(table.record_count()).unwrap_or(0),
            || {
                key += 1;
                let claim = Claim {
                    view: id::View(1),
                    key: id::Key(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                    record: ClaimRecord {
                        digest: 1,
                        holder: host(1),
                        incarnation: 1,
                        ticket: id::Ticket(1),
                        status: Status::Open,
                        written: Instant::default(),
                    },
                    stamp: None,
                    sole: true,
                };
                table.claim(&claim, Instant::default());
            },
        );
        println!("  up to {count} records: {micros:.2} us per claim");
        points.push((
            f64::from(count),
            memory_bytes().saturating_sub(before) as f64 / 1e6,
        ));
    }
    print_fit("memory, by thousand records", "MB", &points);
}

fn build_state(entries: u64, customers: u64, servers: u64) -> Machine {
    let mut state = Machine::default();
    let mut lines: Vec<_> = (0..4)
        .map(|n| format!("create tier t{n} rank={n}"))
        .collect();
    lines.extend((0..9).map(|n| format!("create service s{n} model=m{n}")));
    for n in 0..entries {
        let (rpc, http) = (10_000 + n, 20_000 + n);
        let hall = n % 6;
        lines.push(format!(
            "create host e{n} role=entry hall=h{hall} rpc=127.0.0.1:{rpc} http=127.0.0.1:{http}"
        ));
    }
    for n in 0..customers {
        let hash = curlewlift::digest(&format!("key {n}"));
        lines.push(format!(
            "create customer u{n} key_hash={hash} tier=t{}",
            n % 4
        ));
    }
    for n in 0..servers {
        let (service, hall) = (n % 9, n % 6);
        lines.push(format!(
            "create server x{n} service=s{service} hall=h{hall} address=127.0.0.1:{}",
            30_000 + n
        ));
    }
    for (number, line) in lines.into_iter().enumerate() {
        let command = Command {
            operator: "root".parse().expect("a valid name"),
            number: number as u64,
            line,
        };
        state
            .apply(&Record::Command(command))
            .expect("the command is applied");
    }
    state
}

fn leases() {
    println!("\n# leases, at the leading control replica");
    let mut points = Vec::new();
    for entries in [10, 100, 340] {
        let mut state = build_state(entries, 0, 0);
        let members = (0..entries).map(member).collect();
        let number = id::View(1);
        state
            .apply(&Record::Roster(Roster { number, members }))
            .expect("the view is applied");
        let mut grantor = Grantor::new(LeaseTiming::default(), Instant::default());
        let mut index = 0;
        let revision = state.get_snapshot().revision;
        let micros = time(20_000, || {
            index = (index + 1) % entries;
            let renewal = Renewal {
                member: member(index),
                held_view: number,
                active_view: number,
                shards_complete: true,
                revision,
                stopped: false,
            };
            let grant = grantor.renew(&renewal, &state, Instant::default());
            assert!(grant.is_ok());
        });
        points.push((entries as f64, micros));
    }
    print_fit("one renewal, by entries", "us", &points);
}

fn changes() {
    println!("\n# configuration");
    let mut points = Vec::new();
    for scale in [1, 2, 4, 8] {
        let mut state = build_state(340 * scale / 8, 470 * scale / 8, 1_800 * scale / 8);
        let items = (340 + 470 + 1_800) * scale / 8 + 13;
        let size = state.encode().len();
        let mut number = 1_000_000;
        let micros = time(200, || {
            number += 1;
            let command = Command {
                operator: "root".parse().expect("a valid name"),
                number,
                line: format!("change customer u0 weight={}", number % 7 + 1),
            };
            state
                .apply(&Record::Command(command))
                .expect("the command is applied");
        });
        println!("  {items} items: {size} bytes of state, {micros:.0} us to apply a change");
        points.push((items as f64, micros));
    }
    print_fit("applying a change, by items", "us", &points);
}

fn views() {
    println!("\n# a new view, at an entry");
    let mut points = Vec::new();
    for entries in [10, 100, 340] {
        let roster = |number, count| Roster {
            number: id::View(number),
            members: (0..count).map(member).collect(),
        };
        let (old, new) = (roster(1, entries), roster(2, entries - 1));
        let mut table = Table::new(member(0), Duration::from_secs(1_000), 1_000);
        table.apply_view(&old, &Roster::default(), Instant::default());
        let micros = time(1, || table.apply_view(&new, &old, Instant::default()));
        points.push((entries as f64, micros / 1_000.0));
    }
    print_fit("applying a view, by entries", "ms", &points);
}

/// Measures the CPU time of six entries per request, with one client and engines that respond at once.
fn requests() {
    println!("\n# requests through six entries: CPU time of all entries");
    let folder = std::env::temp_dir().join(format!("curlewlift-slopes-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let mut site = Site::start(&folder, &["h1", "h2", "h3"], 1, 6);
    site.create_tiers();
    site.run("create service chat model=m");
    site.create_customer("ann", "live", "rate=100000 open=100000");
    let speed = Speed {
        prefill: 10_000_000,
        decode: 1_000_000,
    };
    let engines: Vec<_> = (0..4)
        .map(|_| runtime.block_on(Engine::start(speed)))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        let fields = "slots=1000 prefill=10000000 decode=1000000";
        site.create_server(&format!("m{index}"), "chat", engine.address(), fields);
    }
    site.wait_for_revision();
    let idle_cpu = cpu_share(&runtime, &site, 0, 1);
    println!("  idle: {:.2}% of a core per entry", 100.0 * idle_cpu / 6.0);
    let mut points = Vec::new();
    for rate in [50, 100, 200, 400] {
        points.push((
            f64::from(rate),
            1_000.0 * cpu_share(&runtime, &site, rate, 1),
        ));
    }
    print_fit(
        "CPU milliseconds per second, by requests per second of one token",
        "ms/s",
        &points,
    );
    let mut points = Vec::new();
    for tokens in [1, 50, 100, 200] {
        let cpu_share = cpu_share(&runtime, &site, 100, tokens);
        points.push((tokens as f64, 1e6 * cpu_share / 100.0));
    }
    print_fit("CPU microseconds per request, by tokens", "us", &points);
    print_message_bytes(&runtime, &site, &engines);
    drop(site);
    let _ = std::fs::remove_dir_all(folder);
}

/// Prints the bytes per request between entries: all bytes minus twice those of one hop of the caller.
fn print_message_bytes(runtime: &tokio::runtime::Runtime, site: &Site, engines: &[Engine]) {
    const COUNT: usize = 400;
    let client = Client::new("key-ann");
    let idle_rate = {
        let before = loopback_bytes();
        std::thread::sleep(Duration::from_secs(2));
        (loopback_bytes() - before) / 2.0
    };
    let send = |to: &dyn Fn(usize) -> std::net::SocketAddr, keyed: bool| {
        let started_at = Wall::now();
        let before = loopback_bytes();
        for number in 0..COUNT {
            let key = format!("k{number}");
            let headers = [("idempotency-key", key.as_str())];
            let headers = if keyed { &headers[..] } else { &[] };
            let body = Client::chat("m", "hello", 1, true);
            runtime.block_on(client.post(to(number), headers, body));
        }
        let background = idle_rate * started_at.elapsed().as_secs_f64();
        (loopback_bytes() - before - background) / COUNT as f64
    };
    let one_hop = send(&|number| engines[number % engines.len()].address(), false);
    let through_entries = send(&|number| site.entry(number % 6), false);
    let keyed = send(&|number| site.entry(number % 6), true);
    println!(
        "  bytes per request: one hop {one_hop:.0}; between entries {:.0}, with a caller's key {:.0}",
        through_entries - 2.0 * one_hop,
        keyed - 2.0 * one_hop
    );
}

/// Returns the CPU time per second of all entries under a load.
fn cpu_share(runtime: &tokio::runtime::Runtime, site: &Site, rate: u32, tokens: u64) -> f64 {
    const SECONDS: u32 = 4;
    let before = thread_cpu_seconds("entry");
    let started_at = Wall::now();
    let client = Client::new("key-ann");
    let entries: Vec<_> = (0..6).map(|index| site.entry(index)).collect();
    runtime.block_on(async {
        let mut tasks = Vec::new();
        let total = rate * SECONDS;
        let mut tick = tokio::time::interval(Duration::from_secs(1) / rate.max(1));
        for number in 0..total {
            tick.tick().await;
            let (client, to) = (client.clone(), entries[number as usize % entries.len()]);
            let body = Client::chat("m", &format!("hello {number}"), tokens, true);
            tasks.push(tokio::spawn(async move {
                let reply = client.post(to, &[], body).await;
                assert!(reply.body.contains("outcome=run"), "{}", reply.body);
            }));
        }
        for task in tasks {
            task.await.expect("the request task does not panic");
        }
        tokio::time::sleep_until((started_at + Duration::from_secs(u64::from(SECONDS))).into())
            .await;
    });
    (thread_cpu_seconds("entry") - before) / started_at.elapsed().as_secs_f64()
}

fn processes(max_entries: usize) {
    println!("\n# real processes on loopback: one control replica and entries, idle");
    let folder = std::env::temp_dir().join(format!("curlewlift-slopes-{}", std::process::id()));
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    let counts = [10, 40, 120, 340];
    for entries in counts.into_iter().filter(|entries| *entries <= max_entries) {
        let before = memory_bytes();
        let halls = ["h1", "h2", "h3", "h4", "h5", "h6"];
        let started_at = Wall::now();
        let site_folder = folder.join(entries.to_string());
        let mut site = Site::start_with(&site_folder, &halls, 1, entries, LeaseTiming::default());
        let ready_seconds = started_at.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_secs(2));
        let (cpu_before, bytes_before, time_before) =
            (cpu_seconds(), loopback_bytes(), Wall::now());
        std::thread::sleep(Duration::from_secs(5));
        let seconds = time_before.elapsed().as_secs_f64();
        let cpu_percent = 100.0 * (cpu_seconds() - cpu_before) / seconds;
        let rate = (loopback_bytes() - bytes_before) / seconds / 1_000.0;
        let memory_mb = memory_bytes().saturating_sub(before) as f64 / 1e6;
        let changed_at = Wall::now();
        site.run("create tier t1 rank=1");
        site.wait_for_revision();
        let apply_seconds = changed_at.elapsed().as_secs_f64();
        println!(
            "  {entries} entries: {cpu_percent:.1}% of a core and {rate:.1} KB/s in total, {memory_mb:.0} MB more; \
             ready in {ready_seconds:.1} s; a change in effect at all entries in {apply_seconds:.2} s"
        );
        cpu.push((entries as f64, cpu_percent));
        bytes.push((entries as f64, rate));
        memory.push((entries as f64, memory_mb));
        drop(site);
    }
    if cpu.len() > 1 {
        print_fit("CPU of all, by entries", "% of a core", &cpu);
        print_fit("loopback of all, by entries", "KB/s", &bytes);
        print_fit("memory of all, by entries", "MB", &memory);
    }
    let _ = std::fs::remove_dir_all(folder);
}
