//! Runs queries over rows of any kind.

use std::cmp::Ordering;
use std::fmt::Write;

use serde::Serialize;
use serde_json::Value;

use crate::code::Code;
use crate::code::Refusal;

use super::Condition;
use super::Format;
use super::Query;
use super::Relation;

/// Rows with named columns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<serde_json::Map<String, Value>>,
}

impl Table {
    /// Adds a row with the column `name` and the fields of `item`.
    pub fn push(&mut self, name: &impl ToString, item: &impl Serialize) {
        let mut row = serde_json::Map::new();
        row.insert("name".to_owned(), Value::from(name.to_string()));
        if let Ok(Value::Object(fields)) = serde_json::to_value(item) {
            row.extend(fields);
        }
        self.rows.push(row);
    }
}

/// Filters, sorts and prints the rows of `table`, as `query` specifies.
///
/// Takes time linear in the number of rows, except for sorting.
///
/// # Errors
///
/// [`Code::Unknown`] if the query names a column that the rows don't have.
pub fn run_query(query: &Query, table: Table) -> Result<String, Refusal> {
    let mut rows = table.rows;
    check_columns(query, &rows)?;
    rows.retain(|row| {
        query
            .conditions
            .iter()
            .all(|condition| row_matches(condition, row))
    });
    if let Some((column, descending)) = &query.sort {
        rows.sort_by(|a, b| compare(&a[column], &b[column]));
        if *descending {
            rows.reverse();
        }
    }
    if !query.columns.is_empty() {
        for row in &mut rows {
            let selected = query.columns.iter();
            *row = selected
                .map(|c| (c.clone(), row.get(c).cloned().unwrap_or_default()))
                .collect();
        }
    }
    Ok(match query.format {
        Format::Json => print_json(&rows),
        Format::Table => print_columns(&rows),
    })
}

/// Checks that each column that the query names exists.
fn check_columns(query: &Query, rows: &[serde_json::Map<String, Value>]) -> Result<(), Refusal> {
    let Some(first) = rows.first() else {
        return Ok(());
    };
    let conditions = query.conditions.iter().map(|condition| &condition.field);
    let sort = query.sort.iter().map(|(column, _)| column);
    let missing = conditions
        .chain(sort)
        .chain(&query.columns)
        .find(|name| !first.contains_key(*name));
    let Some(name) = missing else { return Ok(()) };
    let existing: Vec<_> = first.keys().map(String::as_str).collect();
    let why = format!(
        "there is no column `{name}`; the columns are {}",
        existing.join(", ")
    );
    Err(Refusal::new(Code::Unknown, why))
}

fn row_matches(condition: &Condition, row: &serde_json::Map<String, Value>) -> bool {
    let order = compare(&row[&condition.field], &condition.value);
    match condition.relation {
        Relation::Equal => order == Ordering::Equal,
        Relation::Differs => order != Ordering::Equal,
        Relation::Less => order == Ordering::Less,
        Relation::Greater => order == Ordering::Greater,
    }
}

/// Compares numbers by value, and all else by its printed form.
fn compare(a: &Value, b: &Value) -> Ordering {
    match (a.as_u64(), b.as_u64()) {
        (Some(a), Some(b)) => a.cmp(&b),
        _ => cell_text(a).cmp(&cell_text(b)),
    }
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn print_json(rows: &[serde_json::Map<String, Value>]) -> String {
    let mut out = String::new();
    for row in rows {
        let _ = writeln!(out, "{}", Value::Object(row.clone()));
    }
    out
}

fn print_columns(rows: &[serde_json::Map<String, Value>]) -> String {
    let Some(first) = rows.first() else {
        return String::new();
    };
    let names: Vec<_> = first.keys().cloned().collect();
    let mut cells = vec![names.clone()];
    for row in rows {
        cells.push(names.iter().map(|name| cell_text(&row[name])).collect());
    }
    let mut out = String::new();
    for line in &cells {
        for (column, cell) in line.iter().enumerate() {
            let width = cells
                .iter()
                .map(|line| line[column].len())
                .max()
                .unwrap_or(0);
            let _ = write!(out, "{cell:<width$}  ");
        }
        out.truncate(out.trim_end().len());
        out.push('\n');
    }
    out
}
