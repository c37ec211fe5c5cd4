//! Fetches the platform's list of backend servers: one gateway for all, and each for itself while
//! it hears no hub any more.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::event::Kind;
use curlewlift_core::gateway;
use curlewlift_core::gateway::ServerList;
use rand::RngExt;

use super::log::Line;
use super::log::millis;
use super::node::Node;

/// Why there is no list.
#[derive(Debug)]
pub(crate) struct FetchError {
    /// What happened.
    pub(crate) why: String,
    /// For how long the platform wants no further call, where it says so.
    pub(crate) retry_after: Option<Duration>,
}

/// Fetches the list, with a pause between two calls.
pub(crate) type Fetch =
    Rc<dyn Fn(Duration) -> Pin<Box<dyn Future<Output = Result<ServerList, FetchError>>>>>;

/// Between two fetches for all: a sixth of the time in which a leaving server must be left alone.
const SHARED_FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Between two fetches of a gateway that hears no hub.
const OWN_FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// The longest pause that the platform may ask for: two thirds of the time in which a leaving server must be left
/// alone.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Between two looks whether a fetch is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long after the time for which the hub's last word holds a gateway fetches for itself.
const HUB_LOSS_MARGIN: Duration = Duration::from_millis(300);

/// Fetches for as long as the process lives; `has_replica` a replica also before the hub is heard.
pub(super) async fn fetch_lists(node: Rc<Node>, fetch: Fetch, has_replica: bool, rate: f64) {
    let mut platform_reachable = true;
    loop {
        let Some(interval) = due_interval(&node, has_replica) else {
            tokio::time::sleep(DUE_CHECK_INTERVAL).await;
            continue;
        };
        let call_interval = if has_replica || node.hub.borrow().fetches_list {
            Duration::ZERO
        } else {
            gateway::call_interval(node.membership.borrow().gateways.len(), rate)
        };
        // Those that hear no hub any more do not all begin at the same moment.
        tokio::time::sleep(call_interval.mul_f64(rand::rng().random())).await;
        let retry_after = match fetch(call_interval).await {
            Ok(list) => {
                if !platform_reachable {
                    Line::new(Kind::PlatformFound).write();
                }
                platform_reachable = true;
                // Its first pages may be older than what the hub has told since.
                if due_interval(&node, has_replica).is_some() {
                    node.update_server_list(|server_lists| server_lists.set_whole(list));
                    node.poll_wakeup.notify_one();
                }
                None
            }
            Err(error) => {
                if platform_reachable {
                    Line::new(Kind::PlatformLost)
                        .with("why", error.why)
                        .with("again_ms", error.retry_after.map(millis))
                        .write();
                }
                platform_reachable = false;
                error.retry_after
            }
        };
        let retry_after =
            retry_after.map_or(interval, |retry_after| retry_after.min(MAX_RETRY_AFTER));
        tokio::time::sleep(interval.max(retry_after)).await;
    }
}

/// The pause after the next fetch; none where none is due.
///
/// A gateway that has never heard the hub has no routing table either. Were it to fetch, 300 that start at
/// the same moment would ask the platform for 18,000 pages of a list of 3,000 servers.
fn due_interval(node: &Node, has_replica: bool) -> Option<Duration> {
    let Some(since_reply) = node.since_hub_reply() else {
        return has_replica.then_some(OWN_FETCH_INTERVAL);
    };
    if since_reply > node.hub_timeout() + HUB_LOSS_MARGIN {
        return Some(OWN_FETCH_INTERVAL);
    }
    node.hub
        .borrow()
        .fetches_list
        .then_some(SHARED_FETCH_INTERVAL)
}
