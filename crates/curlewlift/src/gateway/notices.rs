//! Applies what servers announce about themselves in the heads of their responses.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::event::Kind;
use curlewlift_core::gateway::Server;
use curlewlift_core::id;
use curlewlift_core::pool::Notice;

use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::service::Service;

impl Node {
    /// Applies the notices of a server here, and reports them to the hub.
    pub(super) fn record_notices(
        &self,
        name: &id::Service,
        server: &Arc<Server>,
        notices: &[Notice],
    ) {
        let now = self.now();
        for notice in notices {
            let record =
                |service: &mut Service| service.pool.record_notice(server, notice.clone(), now);
            let Some(Some(update)) = self.with_service(name, record) else {
                continue;
            };
            self.log_notice(name, server, notice, &update);
            self.report_notice(name, server);
        }
    }

    /// Logs a server's notice; `update` is what it changed here.
    fn log_notice(&self, name: &id::Service, server: &Server, notice: &Notice, update: &Notice) {
        let kind = match notice {
            Notice::Draining => Kind::ServerLeaves,
            Notice::Backoff(_) | Notice::Unreadable(_) => Kind::ServerRests,
        };
        let line = Line::new(kind).with("server", &*server.incarnation);
        let line = match (notice, update) {
            (Notice::Backoff(requested), Notice::Backoff(applied)) => {
                // Capacity lost to the backoff: the time that the server's slots can't be used from here.
                let slots = u64::from(server.slots);
                let cost = millis(*applied).saturating_mul(slots);
                metrics::counter!("curlewlift_rest_slot_ms").increment(cost);
                let avoid_time = self.avoid_time(name, &server.incarnation);
                line.with("asked_ms", millis(*requested))
                    .with("kept_ms", millis(avoid_time))
            }
            (Notice::Unreadable(invalid), _) => line.with("odd", invalid.as_str()),
            _ => line,
        };
        line.write();
    }

    /// For how much longer this gateway avoids a server.
    pub(super) fn avoid_time(&self, name: &id::Service, incarnation: &str) -> Duration {
        let now = self.now();
        let avoid_time =
            self.with_service(name, |service| service.pool.avoid_for(incarnation, now));
        avoid_time.unwrap_or_default()
    }
}
