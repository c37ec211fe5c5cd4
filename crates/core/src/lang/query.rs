//! Answers queries over rows of any kind.

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
    /// Adds the fields of `item`, after a first column `name`.
    pub fn push(&mut self, name: &impl ToString, item: &impl Serialize) {
        let mut row = serde_json::Map::new();
        row.insert("name".to_owned(), Value::from(name.to_string()));
        if let Ok(Value::Object(fields)) = serde_json::to_value(item) {
            row.extend(fields);
        }
        self.rows.push(row);
    }
}

/// Filters, sorts and prints `table` as `query` says.
///
/// Linear in the rows but for the sort.
///
/// # Errors
///
/// [`Code::Unknown`] where a column is named that no row has.
pub fn run_query(query: &Query, table: Table) -> Result<String, Refusal> {
    let mut rows = table.rows;
    known(query, &rows)?;
    rows.retain(|row| {
        query
            .conditions
            .iter()
            .all(|condition| holds(condition, row))
    });
    if let Some((column, down)) = &query.sort {
        rows.sort_by(|a, b| compare(&a[column], &b[column]));
        if *down {
            rows.reverse();
        }
    }
    if !query.columns.is_empty() {
        for row in &mut rows {
            let chosen = query.columns.iter();
            *row = chosen
                .map(|c| (c.clone(), row.get(c).cloned().unwrap_or_default()))
                .collect();
        }
    }
    Ok(match query.format {
        Format::Json => json(&rows),
        Format::Table => columns(&rows),
    })
}

/// Whether each column that the query names is there.
fn known(query: &Query, rows: &[serde_json::Map<String, Value>]) -> Result<(), Refusal> {
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
    let there: Vec<_> = first.keys().map(String::as_str).collect();
    let why = format!(
        "there is no column `{name}`; there are {}",
        there.join(", ")
    );
    Err(Refusal::new(Code::Unknown, why))
}

fn holds(condition: &Condition, row: &serde_json::Map<String, Value>) -> bool {
    let order = compare(&row[&condition.field], &condition.value);
    match condition.relation {
        Relation::Equal => order == Ordering::Equal,
        Relation::Differs => order != Ordering::Equal,
        Relation::Less => order == Ordering::Less,
        Relation::Greater => order == Ordering::Greater,
    }
}

/// Numbers by size, all else as it is printed.
fn compare(a: &Value, b: &Value) -> Ordering {
    match (a.as_u64(), b.as_u64()) {
        (Some(a), Some(b)) => a.cmp(&b),
        _ => plain(a).cmp(&plain(b)),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn json(rows: &[serde_json::Map<String, Value>]) -> String {
    let mut out = String::new();
    for row in rows {
        let _ = writeln!(out, "{}", Value::Object(row.clone()));
    }
    out
}

fn columns(rows: &[serde_json::Map<String, Value>]) -> String {
    let Some(first) = rows.first() else {
        return String::new();
    };
    let names: Vec<_> = first.keys().cloned().collect();
    let mut cells = vec![names.clone()];
    for row in rows {
        cells.push(names.iter().map(|name| plain(&row[name])).collect());
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
