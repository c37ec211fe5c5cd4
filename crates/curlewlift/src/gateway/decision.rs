//! Decides requests by the routing table in effect.
//!
//! A gateway that cannot be sure that its table is the newest forwards what the table allows, and denies nothing: what
//! the table denies waits for the newer table, or for the certainty that there is none.

use std::rc::Rc;
use std::time::Duration;

use axum::http::StatusCode;
use curlewlift_core::clock;
use curlewlift_core::code::Code;
use curlewlift_core::publication::Standing;
use curlewlift_core::route::Table;

use super::node::Node;
use super::refuse::Refused;

/// After how long a caller is to retry at a gateway without a routing table: by then a leader has been elected
/// and has sent its gateways the table.
const NO_TABLE_RETRY_AFTER: Duration = Duration::from_millis(800);

/// After how long a caller is to retry if the table may be old, here or at another gateway: by then most gateways have the
/// newest one.
const OLD_TABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Maximum time that a request waits for a table by which it can be decided. A caller that is rejected before that may
/// have no retry left.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The same limit while the whole deployment starts for the first time: no other host has a table either, so a retry
/// elsewhere fails too.
const FIRST_START_MAX_WAIT: Duration = Duration::from_secs(5);

/// Maximum share of the caller's timeout that a request waits: the rest must suffice for the response.
const WAIT_TIMEOUT_SHARE: f64 = 0.25;

/// Decides a request that arrived at `arrived`, whose caller waits for `timeout`, by the table in effect. Returns the
/// decision and the table that it was made by.
///
/// # Errors
///
/// The refusal by the table, or one that says that there is none by which the request can be decided.
pub(super) async fn decide<T>(
    node: &Node,
    arrived: clock::Instant,
    timeout: Option<Duration>,
    decide: impl Fn(&Table) -> Result<T, Refused>,
) -> Result<(Rc<Table>, T), Refused> {
    let max_wait = max_wait(node, timeout);
    loop {
        let standing = node.table_standing();
        if let Some(table) = node.table().filter(|_| standing != Standing::Outdated) {
            match decide(&table) {
                Ok(decision) => return Ok((table, decision)),
                Err(refused) if standing == Standing::Current || !is_denial(&refused) => {
                    return Err(refused);
                }
                Err(_) => {}
            }
        }
        let waited = node.now().since(arrived);
        if waited >= max_wait {
            return Err(undecided(node));
        }
        node.wait_for_table(max_wait.saturating_sub(waited)).await;
    }
}

/// Returns a refusal as it is, unless the table denies what a newer one may allow.
pub(super) fn confirm(node: &Node, refused: Refused) -> Refused {
    if is_denial(&refused) && node.table_standing() != Standing::Current {
        undecided(node)
    } else {
        refused
    }
}

/// Whether a refusal states that the table does not allow the request: callers do not repeat such a request.
fn is_denial(refused: &Refused) -> bool {
    const DENIALS: [StatusCode; 4] = [
        StatusCode::UNAUTHORIZED,
        StatusCode::FORBIDDEN,
        StatusCode::NOT_FOUND,
        StatusCode::PAYLOAD_TOO_LARGE,
    ];
    let status = refused.refusal.get_code().status();
    DENIALS.iter().any(|denial| denial.as_u16() == status)
}

/// For how long a request may wait for a table.
fn max_wait(node: &Node, timeout: Option<Duration>) -> Duration {
    let max_wait = if node.first_start && node.table_version() == 0 {
        FIRST_START_MAX_WAIT
    } else {
        MAX_WAIT
    };
    let share = timeout.map(|timeout| timeout.mul_f64(WAIT_TIMEOUT_SHARE));
    share.map_or(MAX_WAIT, |share| share.min(max_wait))
}

/// The refusal of a request that no table decides.
fn undecided(node: &Node) -> Refused {
    let version = node.table_version();
    if version == 0 {
        let reason = "this gateway has not received a routing table yet";
        return Refused::new(Code::NoTable, reason).with_retry_after(NO_TABLE_RETRY_AFTER);
    }
    let newest = node.newest_table();
    let reason = if newest > version {
        format!("table {newest} was announced, and this gateway still has table {version}")
    } else {
        format!("the hub has not confirmed lately that table {version} is the newest")
    };
    Refused::new(Code::OldTable, reason).with_retry_after(OLD_TABLE_RETRY_AFTER)
}
