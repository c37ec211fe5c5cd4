//! The tables in the docs are equal to the code.

use std::path::Path;

use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;

fn table(page: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(page);
    let text = std::fs::read_to_string(path).expect("the page is there");
    let numbered = |line: &&str| {
        let cell = line.split('|').nth(1).map(str::trim).unwrap_or_default();
        line.matches('|').count() > 3 && cell.parse::<u16>().is_ok()
    };
    text.lines().filter(numbered).map(str::to_owned).collect()
}

#[test]
fn codes_page() {
    let row = |code: &Code| {
        let (number, name) = (code.number(), code.name());
        format!(
            "| {number} | {name} | {} | {} |",
            code.status(),
            code.meaning()
        )
    };
    let code: Vec<_> = Code::ALL.iter().map(row).collect();
    assert_eq!(table("CODES.md"), code);
}

#[test]
fn events_page() {
    let row = |kind: &Kind| {
        format!(
            "| {} | {} | {} |",
            kind.number(),
            kind.name(),
            kind.meaning()
        )
    };
    let code: Vec<_> = Kind::ALL.iter().map(row).collect();
    assert_eq!(table("EVENTS.md"), code);
}

#[test]
fn numbers_ascend() {
    assert!(Code::ALL.is_sorted_by_key(|code| code.number()));
    assert!(Kind::ALL.is_sorted_by_key(|kind| kind.number()));
}
