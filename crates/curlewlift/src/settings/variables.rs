//! The environment variables that are settings.

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;

use super::Environment;

/// The prefix of every environment variable of this program.
const VARIABLE_PREFIX: &str = "CURLEWLIFT_";

/// The names of all environment variables that are settings.
const SETTING_VARIABLES: [&str; 17] = [
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
    "CURLEWLIFT_SCHEDULING",
];

/// Rejects an environment variable that has the prefix but is not a setting, such as a misspelt one.
pub(crate) fn reject_unknown_variables(environment: &Environment) -> Result<(), Refusal> {
    let prefixed = environment
        .names()
        .filter(|name| name.starts_with(VARIABLE_PREFIX));
    let mut unknown = prefixed.filter(|name| !SETTING_VARIABLES.contains(name));
    let Some(name) = unknown.next() else {
        return Ok(());
    };
    let why = format!(
        "{name} is not a setting; the settings are {}",
        SETTING_VARIABLES.join(", ")
    );
    Err(Refusal::new(Code::BadSetting, why))
}
