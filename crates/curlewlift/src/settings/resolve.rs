//! From flags and variables to values.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::id;
use curlewlift_core::view::LeaseTiming;

use super::args;

/// The environment's variables.
#[derive(Clone, Debug, Default)]
pub(crate) struct Environment(BTreeMap<String, String>);

impl Environment {
    /// This process's own.
    pub(crate) fn own() -> Self {
        let text = std::env::vars_os().filter_map(|(name, value)| {
            let name = name.into_string().ok()?;
            let value = value.into_string().ok()?;
            Some((name, value))
        });
        Self(text.collect())
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    fn get(&self, name: &str) -> Option<&String> {
        self.0.get(name)
    }
}

/// One setting: its flag's value, its flag's name, and what it must be.
struct Setting<'a> {
    flag: Option<&'a String>,
    name: &'static str,
    wanted: &'static str,
}

impl Setting<'_> {
    /// `CURLEWLIFT_` and the flag's name in capitals.
    fn variable(&self) -> String {
        format!("CURLEWLIFT_{}", self.name.to_uppercase().replace('-', "_"))
    }

    fn text<'b>(&'b self, environment: &'b Environment) -> Option<&'b String> {
        self.flag.or_else(|| environment.get(&self.variable()))
    }

    fn bad(&self, value: &str, why: &dyn Display) -> Refusal {
        let (name, variable, wanted) = (self.name, self.variable(), self.wanted);
        let detail = format!("--{name} ({variable}): `{value}` is not right: {why}; give {wanted}");
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
        text.parse().map(Some).map_err(|why| self.bad(text, &why))
    }

    fn needed<T>(&self, environment: &Environment) -> Result<T, Refusal>
    where
        T: FromStr,
        T::Err: Display,
    {
        let missing = || {
            let (name, variable, wanted) = (self.name, self.variable(), self.wanted);
            let detail = format!("--{name} ({variable}) is missing: give {wanted}");
            Refusal::new(Code::BadSetting, detail)
        };
        self.optional(environment)?.ok_or_else(missing)
    }

    /// Milliseconds within a range.
    fn millis(
        &self,
        environment: &Environment,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<Duration, Refusal> {
        let millis: u64 = self.optional(environment)?.unwrap_or(default);
        if !range.contains(&millis) {
            let why = format!("it is not from {} to {}", range.start(), range.end());
            return Err(self.bad(&millis.to_string(), &why));
        }
        Ok(Duration::from_millis(millis))
    }
}

fn setting<'a>(flag: Option<&'a String>, name: &'static str, wanted: &'static str) -> Setting<'a> {
    Setting { flag, name, wanted }
}

/// Where the control replicas are: `NAME=ADDRESS:PORT,...`.
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
            let address = address.map_err(|_| format!("`{part}` has no IP address and port"))?;
            if peers.insert(name, address).is_some() {
                return Err(format!("`{part}` names a host a second time"));
            }
        }
        Ok(Self(peers))
    }
}

const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:7001";
const NAME: &str = "a name of a-z, 0-9, `-`, `_`, `.`";
const PEERS: &str = "NAME=ADDRESS:PORT,... of every control replica";
const LEASE: &str = "milliseconds from 500 to 60000";

/// How many renewals fit into a lease.
const RENEWALS: u32 = 5;

fn lease(flag: Option<&String>, environment: &Environment) -> Result<LeaseTiming, Refusal> {
    let setting = setting(flag, "lease-ms", LEASE);
    let duration = setting.millis(environment, 500..=60_000, 2_000)?;
    Ok(LeaseTiming {
        duration,
        max_drift: duration / 20,
        renew_interval: duration / RENEWALS,
        ..LeaseTiming::default()
    })
}

/// Settings of every role.
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
        let metrics = setting(args.metrics.as_ref(), "metrics", ADDRESS);
        let chosen: Option<String> = format.optional(environment)?;
        let json = match chosen.as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => return Err(format.bad(other, &"there is no such format")),
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
    pub(crate) keep: Duration,
}

impl Entry {
    pub(crate) fn new(args: &args::Entry, environment: &Environment) -> Result<Self, Refusal> {
        let rpc: SocketAddr = setting(args.rpc.as_ref(), "rpc", ADDRESS).needed(environment)?;
        let http_setting = setting(args.http.as_ref(), "http", ADDRESS);
        let http: SocketAddr = http_setting.needed(environment)?;
        if rpc == http {
            let why = "it is the same as --rpc";
            return Err(http_setting.bad(&http.to_string(), &why));
        }
        let peers: Peers = setting(args.control.as_ref(), "control", PEERS).needed(environment)?;
        let keep = setting(
            args.keep_ms.as_ref(),
            "keep-ms",
            "milliseconds from 0 to 600000",
        );
        Ok(Self {
            host: setting(args.host.as_ref(), "host", NAME).needed(environment)?,
            hall: setting(args.hall.as_ref(), "hall", NAME).needed(environment)?,
            rpc,
            http,
            control: peers.0.into_values().collect(),
            lease: lease(args.lease_ms.as_ref(), environment)?,
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
    pub(crate) found: bool,
    pub(crate) lease: LeaseTiming,
}

impl Control {
    pub(crate) fn new(args: &args::Control, environment: &Environment) -> Result<Self, Refusal> {
        let host_setting = setting(args.host.as_ref(), "host", NAME);
        let host: id::Host = host_setting.needed(environment)?;
        let rpc = setting(args.rpc.as_ref(), "rpc", ADDRESS).needed(environment)?;
        let peers: Peers = setting(args.control.as_ref(), "control", PEERS).needed(environment)?;
        if peers.0.get(&host) != Some(&rpc) {
            let why = "--control does not name this host with the address of --rpc";
            return Err(host_setting.bad(host.as_str(), &why));
        }
        let data = setting(args.data.as_ref(), "data", "a folder of its own");
        let found = setting(args.found.as_ref(), "found", "true or false");
        Ok(Self {
            host,
            rpc,
            peers: peers.0,
            platform: setting(args.platform.as_ref(), "platform", ADDRESS).optional(environment)?,
            data: data.needed(environment)?,
            found: found.optional(environment)?.unwrap_or(false),
            lease: lease(args.lease_ms.as_ref(), environment)?,
        })
    }
}

/// Settings of an operator's client.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    pub(crate) name: id::Operator,
    pub(crate) key: String,
    pub(crate) control: Vec<SocketAddr>,
}

impl Operator {
    pub(crate) fn new(args: &args::Operate, environment: &Environment) -> Result<Self, Refusal> {
        let peers: Peers = setting(args.control.as_ref(), "control", PEERS).needed(environment)?;
        let name = setting(args.operator.as_ref(), "operator", NAME).optional(environment)?;
        let root = || {
            "root"
                .parse()
                .map_err(|_| Refusal::new(Code::Internal, "root is a name"))
        };
        let name = match name {
            Some(name) => name,
            None => root()?,
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
        setting(self.config.as_ref(), "config", "the path of a file").needed(environment)
    }
}
