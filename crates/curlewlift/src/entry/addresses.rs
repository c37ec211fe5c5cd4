//! Which entry addresses a caller should use.

use axum::Json;
use curlewlift_core::code::Refusal;
use serde_json::Value;
use serde_json::json;

use super::node::Node;

/// How long a caller may keep the answer, in milliseconds.
pub(super) const KEEP_MS: u64 = 5_000;

/// The live entries of the view, with a stamp to begin request keys with.
///
/// A key that begins with the stamp tells when it was drawn; after a loss of claims it can still
/// be told from those that may have run.
pub(super) fn answer(node: &Node) -> Result<Json<Value>, Refusal> {
    let roster = node.usable_roster()?;
    let live = roster.members.iter().filter(|member| !member.leaving);
    let addresses: Vec<_> = live
        .map(|member| json!({ "address": member.http, "hall": member.hall, "weight": 1 }))
        .collect();
    Ok(Json(json!({
        "addresses": addresses,
        "keep_ms": KEEP_MS,
        "stamp": format!("v{}.", roster.number),
        "view": roster.number,
    })))
}
