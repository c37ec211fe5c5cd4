//! The planned stop: callers are sent to other gateways, and open requests are finished.
//!
//! What the gateway still begins follows from when it ends: [`ForwardedRequest::may_begin`] decides for each attempt at a
//! backend server, whatever way the request has come. It opens no new tunnels for other gateways.

use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::event::Kind;
use curlewlift_core::stop::Need;
use curlewlift_core::stop::Outlook;
use curlewlift_core::stop::Plan;
use curlewlift_core::stop::Timing;

use super::environment::Environment;
use super::forward::ForwardedRequest;
use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::stop_announcement;

/// Interval at which the number of open requests is checked.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long the process waits for other gateways to know that this one stops. One that does not by then has failed or is cut
/// off; it is still told.
const MAX_ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(1_500);

/// Time of the grace period that is left unused: a busy host notices the signal late, and the last bytes must be sent and
/// the process must exit before it is killed.
const MAX_MARGIN: Duration = Duration::from_millis(400);

/// The largest part of a short grace period that is left unused, as its divisor.
const MARGIN_DIVISOR: u32 = 8;

/// Durations of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTiming {
    /// How long callers may use this gateway's address from an earlier address response.
    pub(crate) address_lifetime: Duration,
    /// For how long requests may be begun that only probably end before the process does.
    pub(crate) tentative: Duration,
    /// Time after which the platform kills the process.
    pub(crate) grace: Duration,
}

/// Stops being ready, tells the other gateways, serves callers that still use the address, and finishes the open requests.
pub(super) async fn run(node: &Rc<Node>, environment: &Rc<Environment>, timing: StopTiming) {
    let plan_timing = Timing {
        grace: timing.grace,
        tentative: timing.tentative,
        margin: MAX_MARGIN.min(timing.grace / MARGIN_DIVISOR),
    };
    let plan = Plan::new(plan_timing, node.now());
    let notice = node.gateway.stop_notice();
    node.stopping_gateways.record(notice, node.now());
    // What the hub has replied to earlier polls does not concern this stop.
    node.hub.borrow_mut().unaware = None;
    node.stop.send_replace(Some(plan));
    Line::new(Kind::Stopping)
        .with("open", node.open_requests.get())
        .with("ends_ms", millis(plan.ends_at().since(plan.ordered_at())))
        .write();
    let announcement = stop_announcement::send(Rc::clone(node), Rc::clone(environment));
    let announcement = tokio::task::spawn_local(announcement);
    let finish = async {
        let _ = tokio::time::timeout(MAX_ANNOUNCEMENT_WAIT, announcement).await;
        tokio::time::sleep(timing.address_lifetime).await;
        while node.open_requests.get() > 0 {
            tokio::time::sleep(OPEN_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = finish => {}
        () = wait_until(node, plan.ends_at()) => {}
    }
    Line::new(Kind::Stopped)
        .with("open", node.open_requests.get())
        .with("finished", node.finished_requests.get())
        .write();
}

/// Waits until `time`. Timers stand still while the host is suspended, so the clock is read again.
async fn wait_until(node: &Node, time: clock::Instant) {
    while node.now() < time {
        let remaining = time.since(node.now());
        tokio::time::sleep(remaining.min(OPEN_CHECK_INTERVAL)).await;
    }
}

/// # Planned stop
impl Node {
    /// Whether the gateway has been ordered to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// How a request that is begun now will end; none if the gateway does not stop.
    fn outlook(&self, need: Need) -> Option<Outlook> {
        let plan = *self.stop.borrow();
        plan.map(|plan| plan.outlook(need, self.now()))
    }

    /// Adds to a log line, while the gateway stops, since when, for how much longer it runs, and what the request needs.
    pub(super) fn with_stop(&self, line: Line, need: Need) -> Line {
        let Some(plan) = *self.stop.borrow() else {
            return line;
        };
        let now = self.now();
        line.with("stopping_ms", millis(now.since(plan.ordered_at())))
            .with("ends_in_ms", millis(plan.ends_at().since(now)))
            .with("needs_ms", millis(need.longest))
            .with("expected_ms", need.expected.map(millis))
            .with("end", plan.outlook(need, now).as_str())
    }

    /// Begins the log line about a request that is dropped before its end: its caller has left, or the gateway ends.
    pub(super) fn abandoned_line(&self) -> Line {
        let plan = *self.stop.borrow();
        if plan.is_some_and(|plan| plan.ends_at() <= self.now()) {
            return Line::new(Kind::Ended)
                .with("how", "cut")
                .with("why", "this gateway has stopped");
        }
        Line::new(Kind::CallerLeft)
    }
}

/// # Planned stop
impl ForwardedRequest {
    /// Whether the request may be sent to a server. A response that has begun is always continued.
    pub(super) fn may_begin(&self) -> bool {
        let outlook = self.node.outlook(self.admitted.need(&self.node));
        self.is_streaming || outlook.is_none_or(Outlook::may_begin)
    }

    /// Waits until the request may no longer be sent to a server because this gateway stops.
    pub(super) async fn wait_until_refused(&self) {
        if self.is_streaming {
            return std::future::pending().await;
        }
        let mut stop = self.node.stop.subscribe();
        loop {
            stop.mark_unchanged();
            match self.node.outlook(self.admitted.need(&self.node)) {
                None => {
                    let _ = stop.changed().await;
                }
                Some(Outlook::Certain) => std::future::pending().await,
                Some(Outlook::Likely { until }) => wait_until(&self.node, until).await,
                Some(Outlook::Unsafe) => return,
            }
        }
    }
}
