//! Streams and versions of the service `chat`.

use std::time::Duration;

use curlewlift_core::id;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::rollout::Version;
use curlewlift_core::stream::Change;
use curlewlift_core::stream::Key;
use curlewlift_core::stream::Origin;
use curlewlift_core::stream::Record;
use curlewlift_core::stream::Step;

fn service() -> id::Service {
    "chat".parse().expect("a name")
}

fn version(text: &str) -> Version {
    text.parse().expect("a version")
}

/// Returns the key of a stream by its number.
pub(crate) fn key(number: u64) -> Key {
    Key::new(&Identity::default(), &number.to_le_bytes())
}

pub(crate) fn origin(version_name: &str) -> Origin {
    Origin {
        service: service(),
        version: version(version_name),
    }
}

/// Returns the record of a stream that began at a version.
pub(crate) fn record(number: u64, version_name: &str, remaining: Duration) -> Record {
    Record {
        key: key(number),
        origin: origin(version_name),
        remaining,
    }
}

pub(crate) fn step(version_name: &str, change: Change) -> Step {
    Step {
        service: service(),
        version: version(version_name),
        change,
    }
}
