//! The variables that are settings.

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;

use super::Environment;

/// What every variable of this program begins with.
const PREFIX: &str = "CURLEWLIFT_";

/// Every variable that is a setting.
const KNOWN: [&str; 16] = [
    "CURLEWLIFT_CONFIG",
    "CURLEWLIFT_CONTROL",
    "CURLEWLIFT_DATA",
    "CURLEWLIFT_FOUND",
    "CURLEWLIFT_HALL",
    "CURLEWLIFT_HOST",
    "CURLEWLIFT_HTTP",
    "CURLEWLIFT_KEEP_MS",
    "CURLEWLIFT_KEY",
    "CURLEWLIFT_LEASE_MS",
    "CURLEWLIFT_LOG",
    "CURLEWLIFT_LOG_FORMAT",
    "CURLEWLIFT_METRICS",
    "CURLEWLIFT_OPERATOR",
    "CURLEWLIFT_PLATFORM",
    "CURLEWLIFT_RPC",
];

/// Refuses a variable that looks like a setting and is none.
pub(crate) fn unknown(environment: &Environment) -> Result<(), Refusal> {
    let ours = environment.names().filter(|name| name.starts_with(PREFIX));
    let mut unknown = ours.filter(|name| !KNOWN.contains(name));
    let Some(name) = unknown.next() else {
        return Ok(());
    };
    let why = format!("{name} is no setting; there are {}", KNOWN.join(", "));
    Err(Refusal::new(Code::BadSetting, why))
}
