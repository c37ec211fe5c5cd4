//! Runs operators' queries.

use curlewlift_core::code::Refusal;
use curlewlift_core::config::Snapshot;
use curlewlift_core::lang;
use curlewlift_core::lang::Query;
use curlewlift_core::lang::Subject;
use curlewlift_core::lang::Table;
use serde::Serialize;
use serde_json::json;

use super::replica::State;

/// The result of `query` from the leader's current state.
pub(super) fn run(state: &State, query: &Query) -> Result<String, Refusal> {
    let table = rows(state, query.subject);
    lang::run_query(query, table)
}

/// The rows of `subject`, before filters and sorting.
fn rows(state: &State, subject: Subject) -> Table {
    let snapshot = state.machine.get_snapshot();
    match subject {
        Subject::Audit => audit(state),
        Subject::Revision => revision(state, snapshot),
        Subject::View => view(state),
        Subject::Replicas => replicas(state),
        Subject::Customers => table(&snapshot.customers),
        Subject::Hosts => table(&snapshot.hosts),
        Subject::Operators => table(&snapshot.operators),
        Subject::Servers => table(&snapshot.servers),
        Subject::Services => table(&snapshot.services),
        Subject::Tiers => table(&snapshot.tiers),
    }
}

/// A table with a row for each item of the configuration.
fn table<'a, K, T>(items: impl IntoIterator<Item = (&'a K, &'a T)>) -> Table
where
    K: ToString + 'a,
    T: Serialize + 'a,
{
    let mut table = Table::default();
    for (name, item) in items {
        table.push(name, item);
    }
    table
}

/// The audit log of changes.
fn audit(state: &State) -> Table {
    let mut table = Table::default();
    for (index, line) in state.machine.audit().enumerate() {
        table.push(&(index + 1), line);
    }
    table
}

/// The revision at the leader, and at each entry with the age of the entry's report.
fn revision(state: &State, snapshot: &Snapshot) -> Table {
    let mut table = Table::default();
    let leader_row = json!({ "revision": snapshot.revision, "view": 0, "age_ms": 0 });
    table.push(&"control", &leader_row);
    let now = state.clock.now();
    for (host, revision, view, reported_at) in state
        .grantor
        .iter()
        .flat_map(curlewlift_core::view::Grantor::reported_revisions)
    {
        let age = u64::try_from(now.since(reported_at).as_millis()).unwrap_or(u64::MAX);
        table.push(
            host,
            &json!({ "revision": revision, "view": view, "age_ms": age }),
        );
    }
    table
}

/// The members of the replica set, and whether they respond.
fn replicas(state: &State) -> Table {
    let mut table = Table::default();
    let leader = state.replica.get_leader();
    for member in &state.replica.members().0 {
        let row = json!({
            "disk": format!("{:016x}", member.disk.0),
            "voter": member.voter,
            "answers": state.replica.is_reachable(&member.host, state.clock.now()),
            "leads": leader == Some(&member.host),
        });
        table.push(&member.host, &row);
    }
    table
}

/// The entries in the current view.
fn view(state: &State) -> Table {
    let mut table = Table::default();
    let roster = state.machine.get_roster();
    for member in &roster.members {
        let row = json!({
            "view": roster.number,
            "hall": member.hall,
            "http": member.http,
            "leaving": member.leaving,
        });
        table.push(&member.host, &row);
    }
    table
}
