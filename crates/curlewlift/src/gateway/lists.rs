//! Fetches the platform's list of backend servers: one gateway fetches it for all, another one if the platform does not
//! answer that, and each gateway for itself once it can't reach the hub any more.

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

/// Why a fetch of the list failed.
#[derive(Debug)]
pub(crate) struct FetchError {
    /// What failed.
    pub(crate) why: String,
    /// How long the platform asks to wait before the next call, if it says so.
    pub(crate) retry_after: Option<Duration>,
}

/// Fetches the list page by page, with the given pause between two calls.
pub(crate) type Fetch =
    Rc<dyn Fn(Duration) -> Pin<Box<dyn Future<Output = Result<ServerList, FetchError>>>>>;

/// Interval of fetches for all gateways: a sixth of the time after which a draining server must get no more requests.
const SHARED_FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of fetches by a gateway that can't reach the hub.
const OWN_FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum pause that the platform can ask for: two thirds of the time after which a draining server must get no
/// more requests.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Interval at which a gateway checks whether a fetch is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long after [`Node::hub_timeout`] a gateway begins to fetch for itself.
const HUB_LOSS_MARGIN: Duration = Duration::from_millis(300);

/// Fetches the list whenever that is due, for as long as the process lives; with `has_replica` also before the hub's
/// first reply. `rate` is the number of calls a second that the platform allows from all gateways together.
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
        // Gateways that lose the hub at the same time must not all start to fetch at the same moment.
        tokio::time::sleep(call_interval.mul_f64(rand::rng().random())).await;
        let fetched = fetch(call_interval).await;
        // A platform that wants no more calls for now is reachable.
        let is_answered = match &fetched {
            Ok(_) => true,
            Err(error) => error.retry_after.is_some(),
        };
        if is_answered {
            node.hub.borrow_mut().platform_answered_at = node.now();
        }
        let retry_after = match fetched {
            Ok(list) => {
                if !platform_reachable {
                    Line::new(Kind::PlatformFound).write();
                }
                platform_reachable = true;
                // If the hub is reachable again, its list may be newer than the first pages of this one.
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

/// Interval to wait after the next fetch; none if no fetch is due.
///
/// A gateway that has never reached the hub has no routing table either and doesn't fetch: 300 gateways that
/// started at the same moment would request 18,000 pages of a list of 3,000 servers from the platform.
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
