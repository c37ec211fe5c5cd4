//! The tables of result codes and events in the docs are equal to those in the code.

use std::path::Path;

use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;

/// The numbered rows of the tables in `page`.
fn table_rows(page: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(page);
    let text = std::fs::read_to_string(path).expect("the page exists");
    let is_numbered = |line: &&str| {
        let cell = line.split('|').nth(1).map(str::trim).unwrap_or_default();
        line.matches('|').count() > 3 && cell.parse::<u16>().is_ok()
    };
    text.lines()
        .filter(is_numbered)
        .map(str::to_owned)
        .collect()
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
    let rows: Vec<_> = Code::ALL.iter().map(row).collect();
    assert_eq!(table_rows("CODES.md"), rows);
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
    let rows: Vec<_> = Kind::ALL.iter().map(row).collect();
    assert_eq!(table_rows("EVENTS.md"), rows);
}

#[test]
fn numbers_ascend() {
    assert!(Code::ALL.is_sorted_by_key(|code| code.number()));
    assert!(Kind::ALL.is_sorted_by_key(|kind| kind.number()));
}
