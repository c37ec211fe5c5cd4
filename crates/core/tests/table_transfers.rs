//! Leases on the newest table, and tables that are transferred in chunks, as patches, from several hosts.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::code::Code;
use curlewlift_core::id;
use curlewlift_core::publication::Chunk;
use curlewlift_core::publication::Download;
use curlewlift_core::publication::Grantor;
use curlewlift_core::publication::MAX_LEASE;
use curlewlift_core::publication::Payload;
use curlewlift_core::publication::Store;
use curlewlift_core::state::Document;
use curlewlift_core::state::Publication;
use quickcheck::quickcheck;

use support::time::ms;

/// The length of a lease.
const LEASE: Duration = Duration::from_millis(600);

fn host(name: &str) -> id::Host {
    name.parse().expect("a name")
}

/// A table of this many rules whose names are all distinct, with a comment.
fn table(version: u64, rules: u64, comment: &str) -> Publication {
    let rule = |number: u64| {
        let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        format!(
            "{{\"name\":\"{name:016x}\",\"service\":\"chat\",\"timeout_ms\":6000,\"kind\":\"safe\"}},"
        )
    };
    let rules: String = (0..rules).map(rule).collect();
    Publication {
        version,
        document: Document::pack(&format!("{rules}{comment}")),
    }
}

/// A grantor whose former leaders' leases have ended, and that has granted a lease on table 7 at 2,000 ms.
fn granted() -> Grantor {
    let mut grantor = Grantor::new(ms(0));
    grantor.grant(&host("a"), 7, LEASE, ms(2_000));
    grantor
}

/// When table 8 may be acknowledged, after what the gateway with a lease on table 7 does.
#[test]
fn acknowledged_once_heard() {
    type Act = fn(&mut Grantor);
    let cases: [(&str, Act, u64, bool); 9] = [
        ("nothing is heard of it", |_| {}, 2_500, false),
        // The gateway's clock may be slower than the leader's.
        ("its lease has just ended", |_| {}, 2_600, false),
        ("its lease has ended", |_| {}, 2_650, true),
        (
            "it has heard of the table",
            |grantor| grantor.on_poll(&host("a"), 8, 7),
            2_010,
            true,
        ),
        (
            "a report says so",
            |grantor| grantor.on_report(&host("a"), 8, 7),
            2_010,
            true,
        ),
        (
            "it polls again before it has heard",
            |grantor| grantor.on_poll(&host("a"), 7, 7),
            2_010,
            false,
        ),
        (
            "the reply with the news may have been lost",
            |grantor| grantor.grant(&host("a"), 8, LEASE, ms(2_100)),
            2_110,
            false,
        ),
        (
            "another process runs there",
            |grantor| grantor.on_poll(&host("a"), 0, 0),
            2_010,
            false,
        ),
        (
            "another gateway has heard",
            |grantor| grantor.on_poll(&host("b"), 8, 8),
            2_010,
            false,
        ),
    ];
    for (name, act, at, expected) in cases {
        let mut grantor = granted();
        act(&mut grantor);
        assert_eq!(grantor.is_announced(8, ms(at)), expected, "{name}");
    }
}

/// A leader acknowledges nothing while leases of the one before may be held, unless there was none.
#[test]
fn former_leases() {
    let mut grantor = Grantor::new(ms(0));
    assert!(!grantor.is_announced(8, Instant::default() + MAX_LEASE));
    assert!(grantor.is_announced(8, Instant::default() + MAX_LEASE + LEASE));
    grantor.no_former_leases(ms(0));
    assert!(grantor.is_announced(1, ms(0)));
}

#[test]
fn counts_gateways_behind() {
    let mut grantor = granted();
    grantor.grant(&host("b"), 8, LEASE, ms(2_000));
    grantor.on_poll(&host("b"), 8, 8);
    assert_eq!(grantor.count_missing(8, ms(2_100)), (2, 1));
    assert_eq!(grantor.holders(8, ms(2_100)).count(), 1);
    assert_eq!(
        grantor.count_missing(8, ms(3_000)),
        (0, 0),
        "leases have ended"
    );
    grantor.retain(ms(3_000), |_| false);
    assert_eq!(grantor.holders(0, ms(2_100)).count(), 0, "forgotten");
}

/// A patch is far smaller than the table for a small change, and no larger than the table otherwise.
#[test]
fn patch_sizes() {
    for rules in [1_400, 5_000] {
        let base = table(7, rules, "");
        let whole = base.document.as_packed().len();
        let cases = [
            (table(8, rules, "changed"), whole / 100),
            // What is new compresses no better than in the whole table.
            (table(8, rules + 1_400, ""), whole * 3 / 2),
            (table(8, 3, ""), whole / 100),
        ];
        for (changed, limit) in cases {
            let patch = Payload::patch(&base, &changed).expect("a patch");
            let len = patch.get_id().len;
            assert!(len <= limit, "{len} of {whole} bytes, {rules} rules");
            let unpacked = patch.unpack(&base).expect("the table");
            assert_eq!(unpacked.document.unpack(), changed.document.unpack());
            let other = patch.unpack(&table(6, 10, ""));
            let error = other.map(|_| ()).map_err(|error| error.get_code());
            let is_whole = patch.get_id().base == 0;
            assert_eq!(error, if is_whole { Ok(()) } else { Err(Code::Damaged) });
        }
    }
}

/// Computes the payload for a gateway with table `in_effect`.
fn computed(store: &mut Store, in_effect: u64) -> Arc<Payload> {
    let job = store.job(in_effect).expect("a newer table");
    let payload = Arc::new(job.run().expect("a payload"));
    store.add_payload(job.versions().0, Arc::clone(&payload));
    payload
}

/// A download goes on while newer tables are published; the next one is a patch against its table.
#[test]
fn download_outlasts_newer_tables() {
    let mut store = Store::default();
    store.add_table(&table(7, 1_400, ""));
    store.add_table(&table(8, 7_000, ""));
    let payload = computed(&mut store, 7);
    let mut download = Download::default();
    assert!(download.receive(&Chunk::cut(&payload, 0)).is_none());
    for version in 9..12 {
        store.add_table(&table(version, 7_000, &version.to_string()));
        computed(&mut store, 7);
    }
    let continued = store.find(7, download.get_payload());
    assert!(continued.is_some_and(|continued| continued == payload));
    while download
        .receive(&Chunk::cut(&payload, download.len()))
        .is_none()
    {}
    assert_eq!(download.get_restarts(), 0);
    let next = computed(&mut store, 8).get_id();
    assert_eq!((next.version, next.base), (11, 8));
    assert!(next.len < 1_000, "{} bytes", next.len);
}

/// What a host gives: patches against tables that it has, else the whole; a gateway gives what it has received itself.
#[test]
fn gives_what_is_stored() {
    let mut replica = Store::default();
    assert!(replica.job(0).is_none());
    for version in 1..=12 {
        replica.add_table(&table(version, 200, &version.to_string()));
    }
    assert_eq!(computed(&mut replica, 11).get_id().base, 11);
    assert_eq!(
        computed(&mut replica, 1).get_id().base,
        0,
        "no longer stored"
    );
    assert!(
        replica.find(2, None).is_some(),
        "the whole fits any gateway"
    );
    assert!(replica.find(10, None).is_none(), "a patch fits better");
    assert!(replica.find(12, None).is_none() && replica.job(12).is_none());
    let mut gateway = Store::default();
    gateway.add_payload(11, computed(&mut replica, 11));
    assert!(gateway.find(11, None).is_some());
    assert!(gateway.find(10, None).is_none() && gateway.job(10).is_none());
}

/// Chunks that are lost, doubled, damaged or from several hosts and tables: what is received is a whole payload, or none.
fn mixed_chunks(steps: Vec<(u8, u8)>) -> bool {
    let payloads: Vec<_> = (0..3)
        .map(|index| Payload::whole(&table(7 + index / 2, 1_000, &index.to_string())))
        .collect();
    let mut download = Download::default();
    for (choice, fault) in steps {
        let payload = &payloads[usize::from(choice) % payloads.len()];
        let offset = if fault % 3 == 0 { 0 } else { download.len() };
        let mut chunk = Chunk::cut(payload, offset);
        if fault % 7 == 1 {
            chunk.bytes[0] ^= 1;
        }
        if fault % 11 == 1 {
            chunk.offset += 1;
        }
        if let Some(Ok(received)) = download.receive(&chunk)
            && !payloads.contains(&received)
        {
            return false;
        }
    }
    true
}

#[test]
fn torn_and_foreign_chunks() {
    quickcheck(mixed_chunks as fn(Vec<(u8, u8)>) -> bool);
}
