//! Measures the slopes behind docs/CAPACITY.md:
//! `cargo run --release -p curlewlift-lab --example slopes [part] [most entries]`.
//!
//! A part is one of owner, claims, leases, changes, views, requests, processes; without one all are run. What
//! memory a part takes is only told by a run of that part alone.
//!
//! The parts are timed by themselves on one thread; then a control replica and up to so many real
//! entries (340 without a number) run on loopback in this process.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people, far below where it matters"
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
    let most = arguments
        .iter()
        .find_map(|text| text.parse().ok())
        .unwrap_or(340);
    let part = arguments.iter().find(|text| text.parse::<usize>().is_err());
    let wanted = |name: &str| part.is_none_or(|part| part == name);
    if wanted("claims") {
        claims();
    }
    if wanted("owner") {
        owner();
    }
    if wanted("leases") {
        leases();
    }
    if wanted("changes") {
        changes();
    }
    if wanted("views") {
        views();
    }
    if wanted("requests") {
        requests();
    }
    if wanted("processes") {
        processes(most);
    }
}

/// Points of a measurement and the straight line through them.
fn fit(name: &str, unit: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let over: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = over / under;
    let start = mean_y - slope * mean_x;
    let off = points
        .iter()
        .map(|(x, y)| (y - start - slope * x).abs() / y.abs().max(1e-9));
    let worst = 100.0 * off.fold(0.0, f64::max);
    let shown: Vec<_> = points.iter().map(|(x, y)| format!("{x}: {y:.2}")).collect();
    println!("{name} [{unit}]: {}", shown.join(", "));
    println!("  = {start:.3} + {slope:.5} x, worst point {worst:.0}% off");
}

/// Microseconds of one call of `turn`.
fn time(count: u32, mut turn: impl FnMut()) -> f64 {
    let began = Wall::now();
    for _ in 0..count {
        turn();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn host(place: u64) -> id::Host {
    format!("e{place}").parse().expect("a name")
}

fn member(place: u64) -> Member {
    Member {
        host: host(place),
        hall: format!("h{}", place % 6).parse().expect("a name"),
        rpc: format!("127.0.0.1:{}", 10_000 + place)
            .parse()
            .expect("an address"),
        http: format!("127.0.0.1:{}", 20_000 + place)
            .parse()
            .expect("an address"),
        incarnation: place,
        leaving: false,
        owns: true,
    }
}

fn owner() {
    println!("\n# owner of a service's queue");
    let mut points = Vec::new();
    for servers in [10, 100, 600, 1_800] {
        points.push((f64::from(servers), turn_time(servers, 1_000)));
    }
    fit(
        "a request's whole turn, by servers, 1,000 waiting",
        "us",
        &points,
    );
    let mut points = Vec::new();
    for waiting in [1_000, 100_000] {
        let before = memory_bytes();
        let took = turn_time(1_800, waiting);
        let bytes = memory_bytes().saturating_sub(before) as f64 / f64::from(waiting);
        println!("  {waiting} waiting: {took:.2} us a turn, {bytes:.0} bytes of new memory each");
        points.push((f64::from(waiting), took));
    }
    fit("the same, by what waits, 1,800 servers", "us", &points);
}

fn turn_time(servers: u32, waiting: u32) -> f64 {
    let mut fleet = Fleet::default();
    let spec = |place: u32| Spec {
        name: format!("m{place}").parse().expect("a name"),
        hall: format!("h{}", place % 6).parse().expect("a name"),
        slots: 16,
        prefill: Rate([8_000, 4_000, 2_000][place as usize % 3]),
        decode: Rate(40),
    };
    fleet.set_servers((0..servers).map(spec).collect(), Instant::default());
    let mut queue = Queue::new(fleet, Tokens(u64::MAX));
    let customers: Vec<id::Customer> = (0..470)
        .map(|n| format!("u{n}").parse().expect("a name"))
        .collect();
    let mut running = VecDeque::new();
    let mut number = 0;
    let mut now = Instant::default();
    let mut ask = |queue: &mut Queue, running: &mut VecDeque<Ticket>, now: Instant| {
        number += 1;
        let far = now + Duration::from_secs(100_000) + Duration::from_micros(number);
        let ask = Request {
            ticket: Ticket {
                host: host(number % 340),
                number: id::Ticket(number),
            },
            customer: customers[number as usize % customers.len()].clone(),
            weight: 1,
            max_waiting: u32::MAX,
            rank: u8::try_from(number % 4).expect("small"),
            prompt: Tokens(200 + number % 500),
            max_output: Tokens(200),
            prefixes: Vec::new(),
            attempt: 0,
            first_token_deadline: far,
            deadline: far,
        };
        queue.submit(ask, now);
        for action in queue.take_actions() {
            if let Action::Grant { ticket, .. } = action {
                running.push_back(ticket);
            }
        }
    };
    while queue.waiting_count() < waiting as usize {
        ask(&mut queue, &mut running, now);
    }
    time(20_000, || {
        now = now + Duration::from_micros(260);
        ask(&mut queue, &mut running, now);
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
    let own = member(0);
    let roster = Roster {
        number: id::View(1),
        members: vec![own.clone()],
    };
    let mut table = Table::new(own, Duration::from_secs(100_000), usize::MAX);
    table.apply_view(&roster, &Roster::default(), Instant::default());
    let mut key = 0_u128;
    let before = memory_bytes();
    let mut points = Vec::new();
    for count in [100_000_u32, 200_000, 400_000, 800_000] {
        let took = time(
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
        println!("  up to {count} kept: {took:.2} us a claim");
        points.push((
            f64::from(count),
            memory_bytes().saturating_sub(before) as f64 / 1e6,
        ));
    }
    fit("memory, by thousand records", "MB", &points);
}

fn machine(entries: u64, customers: u64, servers: u64) -> Machine {
    let mut machine = Machine::default();
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
            operator: "root".parse().expect("a name"),
            number: number as u64,
            line,
        };
        machine
            .apply(&Record::Command(command))
            .expect("it is applied");
    }
    machine
}

fn leases() {
    println!("\n# leases, at the leading control replica");
    let mut points = Vec::new();
    for entries in [10, 100, 340] {
        let mut machine = machine(entries, 0, 0);
        let members = (0..entries).map(member).collect();
        let number = id::View(1);
        machine
            .apply(&Record::Roster(Roster { number, members }))
            .expect("a view");
        let mut grantor = Grantor::new(LeaseTiming::default(), Instant::default());
        let mut place = 0;
        let revision = machine.get_snapshot().revision;
        let took = time(20_000, || {
            place = (place + 1) % entries;
            let renewal = Renewal {
                member: member(place),
                held_view: number,
                active_view: number,
                shards_complete: true,
                revision,
                stopped: false,
            };
            let grant = grantor.renew(&renewal, &machine, Instant::default());
            assert!(grant.is_ok());
        });
        points.push((entries as f64, took));
    }
    fit("one renewal, by entries", "us", &points);
}

fn changes() {
    println!("\n# configuration");
    let mut points = Vec::new();
    for scale in [1, 2, 4, 8] {
        let mut machine = machine(340 * scale / 8, 470 * scale / 8, 1_800 * scale / 8);
        let items = (340 + 470 + 1_800) * scale / 8 + 13;
        let size = machine.encode().len();
        let mut number = 1_000_000;
        let took = time(200, || {
            number += 1;
            let command = Command {
                operator: "root".parse().expect("a name"),
                number,
                line: format!("change customer u0 weight={}", number % 7 + 1),
            };
            machine
                .apply(&Record::Command(command))
                .expect("it is applied");
        });
        println!("  {items} items: {size} bytes of state, {took:.0} us to apply a change");
        points.push((items as f64, took));
    }
    fit("applying a change, by items", "us", &points);
}

fn views() {
    println!("\n# a new view, at an entry");
    let mut points = Vec::new();
    for entries in [10, 100, 340] {
        let roster = |number, count| Roster {
            number: id::View(number),
            members: (0..count).map(member).collect(),
        };
        let (one, two) = (roster(1, entries), roster(2, entries - 1));
        let mut table = Table::new(member(0), Duration::from_secs(1_000), 1_000);
        table.apply_view(&one, &Roster::default(), Instant::default());
        let took = time(1, || table.apply_view(&two, &one, Instant::default()));
        points.push((entries as f64, took / 1_000.0));
    }
    fit("taking up a view, by entries", "ms", &points);
}

/// What a request costs the entries: six of them, all by one client, engines that answer at once.
fn requests() {
    println!("\n# requests through six entries: processor time of all entries");
    let folder = std::env::temp_dir().join(format!("curlewlift-slopes-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let mut site = Site::start(&folder, &["h1", "h2", "h3"], 1, 6);
    site.create_tiers();
    site.run("create service chat model=m");
    site.create_customer("ann", "live", "rate=100000 open=100000");
    let shape = Speed {
        prefill: 10_000_000,
        decode: 1_000_000,
    };
    let engines: Vec<_> = (0..4)
        .map(|_| runtime.block_on(Engine::start(shape)))
        .collect();
    for (place, engine) in engines.iter().enumerate() {
        let fields = "slots=1000 prefill=10000000 decode=1000000";
        site.create_server(&format!("m{place}"), "chat", engine.address(), fields);
    }
    site.wait_for_revision();
    let idle = spent(&runtime, &site, 0, 1);
    println!("  idle: {:.2}% of a core an entry", 100.0 * idle / 6.0);
    let mut points = Vec::new();
    for rate in [50, 100, 200, 400] {
        points.push((f64::from(rate), 1_000.0 * spent(&runtime, &site, rate, 1)));
    }
    fit(
        "milliseconds a second, by requests a second of one token",
        "ms/s",
        &points,
    );
    let mut points = Vec::new();
    for tokens in [1, 50, 100, 200] {
        let spent = spent(&runtime, &site, 100, tokens);
        points.push((tokens as f64, 1e6 * spent / 100.0));
    }
    fit("microseconds a request, by tokens", "us", &points);
    control_bytes(&runtime, &site, &engines);
    drop(site);
    let _ = std::fs::remove_dir_all(folder);
}

/// Bytes a request between entries: all bytes less twice those of the caller's own hop.
fn control_bytes(runtime: &tokio::runtime::Runtime, site: &Site, engines: &[Engine]) {
    const COUNT: usize = 400;
    let client = Client::new("key-ann");
    let idle = {
        let before = loopback_bytes();
        std::thread::sleep(Duration::from_secs(2));
        (loopback_bytes() - before) / 2.0
    };
    let ask = |to: &dyn Fn(usize) -> std::net::SocketAddr, keyed: bool| {
        let began = Wall::now();
        let before = loopback_bytes();
        for number in 0..COUNT {
            let key = format!("k{number}");
            let headers = [("idempotency-key", key.as_str())];
            let headers = if keyed { &headers[..] } else { &[] };
            let body = Client::chat("m", "hello", 1, true);
            runtime.block_on(client.post(to(number), headers, body));
        }
        let rest = idle * began.elapsed().as_secs_f64();
        (loopback_bytes() - before - rest) / COUNT as f64
    };
    let direct = ask(&|number| engines[number % engines.len()].address(), false);
    let drawn = ask(&|number| site.entry(number % 6), false);
    let keyed = ask(&|number| site.entry(number % 6), true);
    println!(
        "  bytes a request: one hop {direct:.0}; between entries {:.0}, with a caller's key {:.0}",
        drawn - 2.0 * direct,
        keyed - 2.0 * direct
    );
}

/// Seconds of processor time a second that all entries spend under a load.
fn spent(runtime: &tokio::runtime::Runtime, site: &Site, rate: u32, tokens: u64) -> f64 {
    const SECONDS: u32 = 4;
    let before = thread_cpu_seconds("entry");
    let began = Wall::now();
    let client = Client::new("key-ann");
    let entries: Vec<_> = (0..6).map(|place| site.entry(place)).collect();
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
            task.await.expect("a request is answered");
        }
        tokio::time::sleep_until((began + Duration::from_secs(u64::from(SECONDS))).into()).await;
    });
    (thread_cpu_seconds("entry") - before) / began.elapsed().as_secs_f64()
}

fn processes(most: usize) {
    println!("\n# real processes on loopback: one control replica and entries, idle");
    let folder = std::env::temp_dir().join(format!("curlewlift-slopes-{}", std::process::id()));
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut mem = Vec::new();
    let counts = [10, 40, 120, 340];
    for entries in counts.into_iter().filter(|entries| *entries <= most) {
        let before = memory_bytes();
        let halls = ["h1", "h2", "h3", "h4", "h5", "h6"];
        let began = Wall::now();
        let place = folder.join(entries.to_string());
        let mut site = Site::start_with(&place, &halls, 1, entries, LeaseTiming::default());
        let ready = began.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_secs(2));
        let (cpu_before, bytes_before, time_before) =
            (cpu_seconds(), loopback_bytes(), Wall::now());
        std::thread::sleep(Duration::from_secs(5));
        let seconds = time_before.elapsed().as_secs_f64();
        let spent = 100.0 * (cpu_seconds() - cpu_before) / seconds;
        let rate = (loopback_bytes() - bytes_before) / seconds / 1_000.0;
        let kept = memory_bytes().saturating_sub(before) as f64 / 1e6;
        let changed = Wall::now();
        site.run("create tier t1 rank=1");
        site.wait_for_revision();
        let force = changed.elapsed().as_secs_f64();
        println!(
            "  {entries} entries: {spent:.1}% of a core and {rate:.1} KB/s in all, {kept:.0} MB more; \
             ready in {ready:.1} s; a change in force everywhere in {force:.2} s"
        );
        cpu.push((entries as f64, spent));
        bytes.push((entries as f64, rate));
        mem.push((entries as f64, kept));
        drop(site);
    }
    if cpu.len() > 1 {
        fit("processor of all, by entries", "% of a core", &cpu);
        fit("loopback of all, by entries", "KB/s", &bytes);
        fit("memory of all, by entries", "MB", &mem);
    }
    let _ = std::fs::remove_dir_all(folder);
}
