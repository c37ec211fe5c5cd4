//! Other programs write entries to the platform's list too, and some are malformed. A malformed entry must be left
//! out alone, whatever its bytes: all other entries of the page must be decoded.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Page;

/// The number of random pages for each kind of damage.
const SEEDS: u64 = 2_000;

fn entry(name: &str) -> String {
    format!(
        "{{\"service\":\"chat\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"models\":[{{\"name\":\"m\",\"version\":1}}],\"id\":\"{name}\",\
         \"born\":1700000000000}}"
    )
}

fn page(entries: &[Vec<u8>]) -> Vec<u8> {
    let mut page = b"{\"instances\":[".to_vec();
    page.extend(entries.join(&b','));
    page.extend(b"],\"next_token\":\"p-50\"}");
    page
}

fn names(page: &Page) -> Vec<&str> {
    page.servers.iter().map(|server| &*server.name).collect()
}

/// Entries that cannot be decoded, each for another reason.
fn malformed() -> Vec<Vec<u8>> {
    let good = entry("i-x");
    let with = |from: &str, to: &str| good.replace(from, to).into_bytes();
    let mut entries = vec![
        b"null".to_vec(),
        b"7".to_vec(),
        b"[]".to_vec(),
        b"{}".to_vec(),
        with("\"slots\":4,", ""),
        with("\"slots\":4", "\"slots\":\"4\""),
        with("\"slots\":4", "\"slots\":-4"),
        with("10.0.0.9:80", "nowhere"),
        with("\"ready\"", "\"sleeping\""),
        with("\"chat\"", "\"No Service\""),
        with("\"v1\"", "1"),
        with("\"i-x\"", "\"i x\\u0007\""),
        with("1700000000000", "1700000000000.5"),
        with("1700000000000", "\"1700000000000\""),
    ];
    let mut not_utf8 = good.clone().into_bytes();
    let at = good.find("chat").expect("the service");
    not_utf8[at] = 0xff;
    entries.push(not_utf8);
    entries
}

#[test]
fn malformed_among_valid() {
    let mut entries = vec![entry("i-1").into_bytes()];
    let count = malformed().len();
    entries.extend(malformed());
    entries.push(entry("i-2").into_bytes());
    let page = Page::decode(&page(&entries)).expect("a page");
    assert_eq!(names(&page), ["i-1", "i-2"]);
    assert_eq!(page.next.as_deref(), Some("p-50"));
    let indices: Vec<_> = page.unreadable.iter().map(|entry| entry.index).collect();
    assert_eq!(indices, (1..=count).collect::<Vec<_>>());
}

#[test]
fn only_malformed() {
    let page = Page::decode(&page(&malformed())).expect("a page");
    assert!(page.servers.is_empty());
    assert_eq!(page.unreadable.len(), malformed().len());
}

#[test]
fn truncated_entries() {
    let good = entry("i-1").into_bytes();
    for cut in 0..good.len() {
        let entries = [
            entry("i-0").into_bytes(),
            good[..cut].to_vec(),
            entry("i-2").into_bytes(),
        ];
        let page = Page::decode(&page(&entries)).expect("a page");
        let names = names(&page);
        assert!(names.contains(&"i-0"), "cut at {cut}: {names:?}");
        assert!(names.contains(&"i-2"), "cut at {cut}: {names:?}");
        assert!(!names.contains(&"i-1"), "cut at {cut}: {names:?}");
    }
}

#[test]
fn random_bytes() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut bytes: Vec<u8> = (0..random.random_range(0..200_usize))
            .map(|_| random.random())
            .collect();
        // Bytes that delimit entries or strings would damage the neighbors; `any_damage` covers those.
        bytes.retain(|byte| !b"{}[]\"\\".contains(byte));
        let entries = [entry("i-0").into_bytes(), bytes, entry("i-2").into_bytes()];
        let page = Page::decode(&page(&entries)).expect("a page");
        assert_eq!(names(&page), ["i-0", "i-2"], "seed {seed}");
    }
}

/// Whatever the damage: decoding ends, and finds no more servers than there are entries.
#[test]
fn any_damage() {
    let entries: Vec<_> = (0..5)
        .map(|n| entry(&format!("i-{n}")).into_bytes())
        .collect();
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut page = page(&entries);
        for _ in 0..random.random_range(1..8) {
            let at = random.random_range(0..page.len());
            match random.random_range(0..3) {
                0 => page[at] = random.random(),
                1 => page.truncate(at + 1),
                _ => {
                    let end = (at + random.random_range(0..300_usize)).min(page.len());
                    page.drain(at..end);
                }
            }
            if page.is_empty() {
                break;
            }
        }
        if let Ok(page) = Page::decode(&page) {
            assert!(page.servers.len() <= 5, "seed {seed}");
        }
    }
}

#[test]
fn no_next_token() {
    assert!(Page::decode(b"{\"instances\":[]").is_err());
    assert!(Page::decode(b"").is_err());
    assert!(Page::decode(b"{\"instances\":[],\"next_token\":7}").is_err());
    let unclosed = b"{\"a".repeat(100_000);
    assert!(Page::decode(&[b"{\"instances\":[", &*unclosed].concat()).is_err());
}

/// A page that breaks off between two entries is not taken for a shorter one.
#[test]
fn cut_between_entries() {
    let entries = [entry("i-0"), entry("i-1")].join(",");
    for (start, end) in [
        ("{\"next_token\":null,\"instances\":[", "]}"),
        ("{\"instances\":[", "],\"next_token\":null}"),
    ] {
        let page = format!("{start}{entries}{end}");
        let decoded = Page::decode(page.as_bytes()).expect("a page");
        assert_eq!(names(&decoded), ["i-0", "i-1"]);
        for cut in start.len()..page.len() - 1 {
            let decoded = Page::decode(&page.as_bytes()[..cut]);
            assert!(decoded.is_err(), "{}", &page[..cut]);
        }
    }
}

#[test]
fn incarnations() {
    let restarted = entry("i-1").replace("1700000000000", "1700000000001");
    let no_start_time = entry("i-1").replace(",\"born\":1700000000000", "");
    let entries = [entry("i-1"), restarted, no_start_time].map(String::into_bytes);
    let page = Page::decode(&page(&entries)).expect("a page");
    let incarnations: Vec<_> = page
        .servers
        .iter()
        .map(|server| &*server.incarnation)
        .collect();
    assert_eq!(
        incarnations,
        ["i-1/1700000000000", "i-1/1700000000001", "i-1"]
    );
    assert_eq!(names(&page), ["i-1", "i-1", "i-1"]);
}
