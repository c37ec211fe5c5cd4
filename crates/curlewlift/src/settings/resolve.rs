//! Resolves flags and environment variables to typed settings.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::id;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::view::LeaseTiming;

use super::args;

/// The environment variables that are valid UTF-8.
#[derive(Clone, Debug, Default)]
pub(crate) struct Environment(BTreeMap<String, String>);

impl Environment {
    /// The variables of this process.
    pub(crate) fn from_process() -> Self {
        let variables = std::env::vars_os().filter_map(|(name, value)| {
            let name = name.into_string().ok()?;
            let value = value.into_string().ok()?;
            Some((name, value))
        });
        Self(variables.collect())
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    fn get(&self, name: &str) -> Option<&String> {
        self.0.get(name)
    }
}

/// A setting: the value and the name of its flag, and a description of valid values.
struct Setting<'a> {
    flag: Option<&'a String>,
    name: &'static str,
    expected: &'static str,
}

impl Setting<'_> {
    /// The name of the environment variable: `CURLEWLIFT_` and the flag's name in capitals.
    fn variable_name(&self) -> String {
        format!("CURLEWLIFT_{}", self.name.to_uppercase().replace('-', "_"))
    }

    /// The value of the flag, or else of the environment variable.
    fn text<'b>(&'b self, environment: &'b Environment) -> Option<&'b String> {
        self.flag.or_else(|| environment.get(&self.variable_name()))
    }

    fn invalid(&self, value: &str, why: &dyn Display) -> Refusal {
        let (name, variable, expected) = (self.name, self.variable_name(), self.expected);
        let detail = format!("--{name} ({variable}): `{value}` is invalid: {why}; give {expected}");
        Refusal::new(Code::BadSetting, detail)
    }

    fn optional<T>(&self, environment: &Environment) -> Result<Option<T>, Refusal>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(environment) else {
            return Ok(None);
        };
        text.parse()
            .map(Some)
            .map_err(|why| self.invalid(text, &why))
    }

    fn required<T>(&self, environment: &Environment) -> Result<T, Refusal>
    where
        T: FromStr,
        T::Err: Display,
    {
        let missing = || {
            let (name, variable, expected) = (self.name, self.variable_name(), self.expected);
            let detail = format!("--{name} ({variable}) is missing: give {expected}");
            Refusal::new(Code::BadSetting, detail)
        };
        self.optional(environment)?.ok_or_else(missing)
    }

    /// A duration in milliseconds within `range`.
    fn millis(
        &self,
        environment: &Environment,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<Duration, Refusal> {
        let millis: u64 = self.optional(environment)?.unwrap_or(default);
        if !range.contains(&millis) {
            let why = format!("it is not between {} and {}", range.start(), range.end());
            return Err(self.invalid(&millis.to_string(), &why));
        }
        Ok(Duration::from_millis(millis))
    }
}

fn setting<'a>(
    flag: Option<&'a String>,
    name: &'static str,
    expected: &'static str,
) -> Setting<'a> {
    Setting {
        flag,
        name,
        expected,
    }
}

/// The addresses of the control replicas, written as `NAME=ADDRESS:PORT,...`.
#[derive(Clone, Debug)]
struct Peers(BTreeMap<id::Host, SocketAddr>);

impl FromStr for Peers {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut peers = BTreeMap::new();
        for part in text.split(',') {
            let (name, address) = part.split_once('=').ok_or(format!("`{part}` has no `=`"))?;
            let name = name
                .trim()
                .parse()
                .map_err(|why: id::InvalidName| why.to_string())?;
            let address = address.trim().parse();
            let address = address
                .map_err(|_| format!("`{part}` has no IP address and port after the `=`"))?;
            if peers.insert(name, address).is_some() {
                return Err(format!("`{part}` names a host that is already in the list"));
            }
        }
        Ok(Self(peers))
    }
}

/// Descriptions of valid values, for error messages.
const EXPECTED_ADDRESS: &str = "an IP address and port, such as 127.0.0.1:7001";
const EXPECTED_NAME: &str = "a name of a-z, 0-9, `-`, `_`, `.`";
const EXPECTED_PEERS: &str = "NAME=ADDRESS:PORT,... of every control replica";
const EXPECTED_LEASE: &str = "milliseconds from 500 to 60000";

/// How many times an entry renews its lease within the duration of the lease.
const RENEWALS_PER_LEASE: u32 = 5;

fn lease_timing(flag: Option<&String>, environment: &Environment) -> Result<LeaseTiming, Refusal> {
    let setting = setting(flag, "lease-ms", EXPECTED_LEASE);
    let duration = setting.millis(environment, 500..=60_000, 2_000)?;
    Ok(LeaseTiming {
        duration,
        max_drift: duration / 20,
        renew_interval: duration / RENEWALS_PER_LEASE,
        ..LeaseTiming::default()
    })
}

/// Settings that all roles share.
#[derive(Clone, Debug)]
pub(crate) struct Common {
    pub(crate) level: log::LevelFilter,
    pub(crate) json: bool,
    pub(crate) metrics: Option<SocketAddr>,
}

impl Common {
    pub(crate) fn new(args: &args::Args, environment: &Environment) -> Result<Self, Refusal> {
        let level = setting(args.log.as_ref(), "log", "error, warn, info or debug");
        let format = setting(args.log_format.as_ref(), "log-format", "text or json");
        let metrics = setting(args.metrics.as_ref(), "metrics", EXPECTED_ADDRESS);
        let format_name: Option<String> = format.optional(environment)?;
        let json = match format_name.as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => return Err(format.invalid(other, &"there is no such format")),
        };
        Ok(Self {
            level: level
                .optional(environment)?
                .unwrap_or(log::LevelFilter::Warn),
            json,
            metrics: metrics.optional(environment)?,
        })
    }
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) host: id::Host,
    pub(crate) hall: id::Hall,
    pub(crate) rpc: SocketAddr,
    pub(crate) http: SocketAddr,
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) lease: LeaseTiming,
    /// How long a stopping entry still serves callers that use its address.
    pub(crate) keep: Duration,
}

impl Entry {
    pub(crate) fn new(args: &args::Entry, environment: &Environment) -> Result<Self, Refusal> {
        let rpc: SocketAddr =
            setting(args.rpc.as_ref(), "rpc", EXPECTED_ADDRESS).required(environment)?;
        let http_setting = setting(args.http.as_ref(), "http", EXPECTED_ADDRESS);
        let http: SocketAddr = http_setting.required(environment)?;
        if rpc == http {
            let why = "it is the same as --rpc";
            return Err(http_setting.invalid(&http.to_string(), &why));
        }
        let peers: Peers =
            setting(args.control.as_ref(), "control", EXPECTED_PEERS).required(environment)?;
        let keep = setting(
            args.keep_ms.as_ref(),
            "keep-ms",
            "milliseconds from 0 to 600000",
        );
        Ok(Self {
            host: setting(args.host.as_ref(), "host", EXPECTED_NAME).required(environment)?,
            hall: setting(args.hall.as_ref(), "hall", EXPECTED_NAME).required(environment)?,
            rpc,
            http,
            control: peers.0.into_values().collect(),
            lease: lease_timing(args.lease_ms.as_ref(), environment)?,
            keep: keep.millis(environment, 0..=600_000, 5_000)?,
        })
    }
}

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub(crate) struct Control {
    pub(crate) host: id::Host,
    pub(crate) rpc: SocketAddr,
    pub(crate) peers: BTreeMap<id::Host, SocketAddr>,
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) data: PathBuf,
    /// Whether to found a new system if the folder is empty.
    pub(crate) found: bool,
    pub(crate) lease: LeaseTiming,
}

impl Control {
    pub(crate) fn new(args: &args::Control, environment: &Environment) -> Result<Self, Refusal> {
        let host_setting = setting(args.host.as_ref(), "host", EXPECTED_NAME);
        let host: id::Host = host_setting.required(environment)?;
        let rpc = setting(args.rpc.as_ref(), "rpc", EXPECTED_ADDRESS).required(environment)?;
        let peers: Peers =
            setting(args.control.as_ref(), "control", EXPECTED_PEERS).required(environment)?;
        if peers.0.get(&host) != Some(&rpc) {
            let why = "--control does not name this host with the address of --rpc";
            return Err(host_setting.invalid(host.as_str(), &why));
        }
        let data = setting(args.data.as_ref(), "data", "a folder of its own");
        let found = setting(args.found.as_ref(), "found", "true or false");
        Ok(Self {
            host,
            rpc,
            peers: peers.0,
            platform: setting(args.platform.as_ref(), "platform", EXPECTED_ADDRESS)
                .optional(environment)?,
            data: data.required(environment)?,
            found: found.optional(environment)?.unwrap_or(false),
            lease: lease_timing(args.lease_ms.as_ref(), environment)?,
        })
    }
}

/// Settings of the operators' client.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    pub(crate) name: id::Operator,
    pub(crate) key: String,
    pub(crate) control: Vec<SocketAddr>,
}

impl Operator {
    pub(crate) fn new(args: &args::Operate, environment: &Environment) -> Result<Self, Refusal> {
        let peers: Peers =
            setting(args.control.as_ref(), "control", EXPECTED_PEERS).required(environment)?;
        let name =
            setting(args.operator.as_ref(), "operator", EXPECTED_NAME).optional(environment)?;
        let default_name = || {
            "root".parse().map_err(|_| {
                Refusal::new(
                    Code::Internal,
                    "the default operator name `root` is invalid",
                )
            })
        };
        let name = match name {
            Some(name) => name,
            None => default_name()?,
        };
        let key = match &args.key_file {
            Some(path) => std::fs::read_to_string(path).map_err(|why| {
                Refusal::new(Code::BadSetting, format!("--key-file: `{path}`: {why}"))
            })?,
            None => environment
                .get("CURLEWLIFT_KEY")
                .cloned()
                .unwrap_or_default(),
        };
        Ok(Self {
            name,
            key: key.trim().to_owned(),
            control: peers.0.into_values().collect(),
        })
    }
}

impl args::Platform {
    /// The path of the platform's settings file.
    pub(crate) fn path(&self, environment: &Environment) -> Result<PathBuf, Refusal> {
        setting(self.config.as_ref(), "config", "the path of a file").required(environment)
    }

    /// The parts of scheduling under hard load that are switched on.
    pub(crate) fn scheduling(&self, environment: &Environment) -> Result<Scheduling, Refusal> {
        let scheduling = setting(
            self.scheduling.as_ref(),
            "scheduling",
            "names of parts, separated by commas, or nothing",
        );
        Ok(scheduling.optional(environment)?.unwrap_or_default())
    }
}
