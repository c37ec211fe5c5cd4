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
    pub(crate) again: Option<Duration>,
}

/// Fetches the list, with a pause between two calls.
pub(crate) type Fetch =
    Rc<dyn Fn(Duration) -> Pin<Box<dyn Future<Output = Result<ServerList, FetchError>>>>>;

/// Between two fetches for all: a sixth of the time in which a leaving server must be left alone.
const FOR_ALL: Duration = Duration::from_millis(500);

/// Between two fetches of a gateway that hears no hub.
const ALONE: Duration = Duration::from_secs(1);

/// The longest pause that the platform may ask for: two thirds of the time in which a leaving server must be left
/// alone.
const LONGEST: Duration = Duration::from_secs(2);

/// Between two looks whether a fetch is due.
const LOOK: Duration = Duration::from_millis(100);

/// How long after the time for which the hub's last word holds a gateway fetches for itself.
const SILENT: Duration = Duration::from_millis(300);

/// Fetches for as long as the process lives; `beside` a replica also before the hub is heard.
pub(super) async fn keep(node: Rc<Node>, fetch: Fetch, beside: bool, rate: f64) {
    let mut answered = true;
    loop {
        let Some(pause) = due(&node, beside) else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        let apart = if beside || node.hub.borrow().fetches_list {
            Duration::ZERO
        } else {
            gateway::call_interval(node.membership.borrow().gateways.len(), rate)
        };
        // Those that hear no hub any more do not all begin at the same moment.
        tokio::time::sleep(apart.mul_f64(rand::rng().random())).await;
        let asked = match fetch(apart).await {
            Ok(listing) => {
                if !answered {
                    Line::new(Kind::PlatformFound).write();
                }
                answered = true;
                // Its first pages may be older than what the hub has told since.
                if due(&node, beside).is_some() {
                    node.update_server_list(|holding| holding.set_whole(listing));
                    node.poll_wakeup.notify_one();
                }
                None
            }
            Err(missed) => {
                if answered {
                    Line::new(Kind::PlatformLost)
                        .with("why", missed.why)
                        .with("again_ms", missed.again.map(millis))
                        .write();
                }
                answered = false;
                missed.again
            }
        };
        let asked = asked.map_or(pause, |asked| asked.min(LONGEST));
        tokio::time::sleep(pause.max(asked)).await;
    }
}

/// The pause after the next fetch; none where none is due.
///
/// A gateway that has never heard the hub has no routing table either. Were it to fetch, 300 that start at
/// the same moment would ask the platform for 18,000 pages of a list of 3,000 servers.
fn due(node: &Node, beside: bool) -> Option<Duration> {
    let Some(silence) = node.since_hub_reply() else {
        return beside.then_some(ALONE);
    };
    if silence > node.hub_timeout() + SILENT {
        return Some(ALONE);
    }
    node.hub.borrow().fetches_list.then_some(FOR_ALL)
}
