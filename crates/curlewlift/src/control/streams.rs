//! Streams on the leader: answers which version began a stream, and commits the versions at which streams may begin.

use std::cell::RefCell;
use std::rc::Rc;

use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::gateway::StreamAnswer;
use curlewlift_core::gateway::StreamQuery;
use curlewlift_core::state::Record;
use curlewlift_core::stream;
use curlewlift_core::stream::Step;

use crate::rpc::HubReply;

use super::hub;
use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// Returns what is known of a stream that a caller takes up.
pub(super) async fn find(state: &Shared, query: &StreamQuery) -> Result<HubReply, Refusal> {
    let answer = find_now(state, query)?;
    if !matches!(answer, StreamAnswer::SoleVersion(_)) {
        return Ok(HubReply::Stream(answer));
    }
    // Another leader may have opened a second version.
    hub::confirm(state).await?;
    Ok(HubReply::Stream(find_now(state, query)?))
}

fn find_now(state: &Shared, query: &StreamQuery) -> Result<StreamAnswer, Refusal> {
    let state = state.borrow();
    let hub = state.hub.as_ref().ok_or_else(hub::not_ready)?;
    Ok(hub.find_stream(query, state.clock.now()))
}

/// Records streams that a gateway could not report itself.
pub(super) fn relay(state: &Shared, records: &[stream::Record]) -> HubReply {
    let mut state = state.borrow_mut();
    let now = state.clock.now();
    let host = state.replica.get_host().clone();
    if let Some(hub) = &mut state.hub {
        hub.record_streams(&host, records, now);
    }
    HubReply::Acknowledged
}

impl State {
    /// Updates the hub to the committed versions, and notes the `steps` that changed them on the timeline.
    pub(super) fn apply_stream_versions(&mut self, steps: &[Step]) {
        let Some(hub) = &mut self.hub else {
            return;
        };
        hub.apply_stream_versions(self.machine.get_stream_versions());
        for step in steps {
            self.timeline.note(event(step));
        }
        self.updates.notify_waiters();
    }

    /// Proposes changes of the versions at which streams may begin.
    pub(super) fn propose_stream_versions(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        #[allow(clippy::cast_precision_loss)]
        metrics::gauge!("curlewlift_streams_known").set(hub.stream_count() as f64);
        let steps = hub.propose_stream_versions(now);
        if steps.is_empty() {
            return;
        }
        let record = Record::StreamVersions(steps);
        self.propose_repeatable(&record, "versions at which streams may begin");
    }
}

/// The event of a step.
fn event(step: &Step) -> Line {
    let Step {
        service,
        version,
        change,
    } = step;
    Line::new(Kind::StreamVersion).detail(format_args!(
        "service={service} version={version} change={change:?}"
    ))
}
