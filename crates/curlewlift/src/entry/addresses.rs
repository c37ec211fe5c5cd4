//! The entry addresses that callers should use.

use axum::Json;
use curlewlift_core::code::Refusal;
use curlewlift_core::id::Host;
use serde_json::Value;
use serde_json::json;

use super::node::Node;
use super::node::lock;

/// How long a caller may use the addresses of one response, in milliseconds.
pub(super) const RETENTION_MS: u64 = 5_000;

/// The live entries of the view, without this one if it stops, and a stamp with which callers begin request keys.
///
/// The stamp shows under which view a key was generated. After a loss of claims, keys that are
/// newer than the loss can be told by it from keys whose requests may have run.
pub(super) fn response(node: &Node) -> Result<Json<Value>, Refusal> {
    let roster = node.usable_roster()?;
    // The view may not say yet that this entry leaves.
    let stops = lock(&node.view_holder).get_member().leaving;
    let is_own = |host: &Host| stops && *host == node.member.host;
    let members = roster.members.iter();
    let live = members.filter(|member| !member.leaving && !is_own(&member.host));
    let addresses: Vec<_> = live
        .map(|member| json!({ "address": member.http, "hall": member.hall, "weight": 1 }))
        .collect();
    Ok(Json(json!({
        "addresses": addresses,
        "keep_ms": RETENTION_MS,
        "stamp": format!("v{}.", roster.number),
        "view": roster.number,
    })))
}
