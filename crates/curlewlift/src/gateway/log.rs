//! Writes one line of JSON for each decision that affects a request or changes what this process knows of others.

use std::time::Duration;

use axum::http::HeaderValue;
use curlewlift_core::event::Kind;
use curlewlift_core::response::Silence;
use serde_json::Map;
use serde_json::Value;

/// The log target of lines that are JSON already.
pub(crate) const TARGET: &str = "decision";

/// Begins a log line about `kind`.
pub(crate) fn note(kind: Kind) -> Line {
    Line::new(kind)
}

/// A log line under construction.
pub(crate) struct Line(Map<String, Value>);

impl Line {
    /// Begins a log line about `kind`.
    pub(crate) fn new(kind: Kind) -> Self {
        let mut fields = Map::new();
        fields.insert("event".to_owned(), kind.number().into());
        fields.insert("name".to_owned(), kind.name().into());
        Self(fields)
    }

    /// Adds a field.
    pub(crate) fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.0.insert(name.to_owned(), value.into());
        self
    }

    /// Adds the request's id.
    pub(crate) fn request(self, id: Option<&HeaderValue>) -> Self {
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        self.with("request", id)
    }

    /// Adds how long ago the request arrived.
    pub(super) fn after(self, age: Duration) -> Self {
        self.with("after_ms", millis(age))
    }

    /// Adds how long a server was silent, and where in its response, if that is known.
    pub(super) fn silence(self, silence: Option<Silence>) -> Self {
        match silence {
            Some(silence) => self
                .with("silent_ms", millis(silence.time))
                .with("silent_in", silence.part.as_str()),
            None => self,
        }
    }

    /// Writes the line to the log.
    pub(crate) fn write(self) {
        ::log::info!(target: TARGET, "{}", Value::Object(self.0));
    }
}

/// A duration in milliseconds, for a log line.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
