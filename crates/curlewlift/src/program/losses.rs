//! The `losses` subcommand: prints how many requests were late, refused or lost, from gateways' logs.

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;

use crate::losses;
use crate::losses::By;
use crate::losses::Day;
use crate::losses::Table;
use crate::settings::Losses;

pub(super) fn run(args: &Losses) -> Result<(), Refusal> {
    let bad_setting = |name: &str, value: &str, why: &str| {
        Refusal::new(Code::BadSetting, format!("{name}: `{value}`: {why}"))
    };
    if args.logs.is_empty() {
        return Err(bad_setting("LOGS", "", "give at least one log"));
    }
    let by = args.by.as_deref().unwrap_or("rank");
    let by: By = by.parse().map_err(|why| bad_setting("--by", by, why))?;
    let mut day = Day::default();
    for path in &args.logs {
        let log = std::fs::read(path);
        let log = log.map_err(|why| bad_setting("LOGS", path, &why.to_string()))?;
        // Invalid UTF-8 occurs only in lines that are skipped anyway.
        day.read(&String::from_utf8_lossy(&log));
    }
    let table = Table::new(&day, by);
    match args.format.as_deref() {
        None | Some("text") => print!("{table}"),
        Some("svg") => print!("{}", losses::draw(&table)),
        Some(other) => return Err(bad_setting("--format", other, "give text or svg")),
    }
    let skipped_lines = day.get_skipped_lines();
    if skipped_lines > 0 {
        eprintln!(
            "curlewlift: skipped {skipped_lines} lines that do not record the course of a request"
        );
    }
    Ok(())
}
