//! The settings file that the platform lays out for each process.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::limit;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::rollout;
use serde::Deserialize;

/// The settings of one process, as the platform's file has them.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Settings {
    /// This machine's address; the system's own names of hosts are their addresses.
    pub(super) ip: IpAddr,
    /// Its data hall.
    #[serde(rename = "zone")]
    pub(super) hall: String,
    /// The region of each data hall.
    #[serde(rename = "zones", default)]
    pub(super) halls: BTreeMap<Arc<str>, Arc<str>>,
    /// The ports that the system's processes may use among themselves, first and last.
    #[serde(rename = "internal_ports")]
    pub(super) own_ports: (u16, u16),
    /// Where some control replicas may be found: the addresses at which operators reach them.
    #[serde(default)]
    pub(super) seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, on empty disks.
    #[serde(rename = "bootstrap", default)]
    pub(super) first_start: bool,
    /// What the host has.
    #[serde(default)]
    pub(super) limits: HostLimits,
    /// The folder for files, on hosts with a disk.
    #[serde(default)]
    pub(super) data_dir: Option<PathBuf>,
    /// Where this process listens for whom.
    pub(super) listen: Listen,
    /// What may be lost at once.
    #[serde(rename = "fault_tolerance", default)]
    pub(super) tolerated: Tolerated,
    /// The bounds that the platform holds the system to.
    pub(super) bounds: Bounds,
    /// Where the platform itself is reached.
    #[serde(rename = "cloud")]
    pub(super) platform: Reached,
    /// The parts of the platform's rules that are in force.
    #[serde(rename = "contracts", default)]
    pub(super) in_force: Vec<String>,
}

/// What a host has, as far as it is used.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct HostLimits {
    /// What its link carries, in Mbit/s.
    #[serde(rename = "link_mbps", default)]
    link: f64,
}

impl HostLimits {
    /// What its link carries, in bytes a second.
    pub(super) fn link(self) -> f64 {
        self.link * 1e6 / 8.0
    }
}

/// Where a process listens.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Listen {
    /// For callers.
    #[serde(rename = "front")]
    pub(super) callers: SocketAddr,
    /// For the platform's question whether this host takes callers.
    #[serde(rename = "ready")]
    pub(super) readiness: SocketAddr,
    /// For operators.
    #[serde(rename = "control")]
    pub(super) operators: SocketAddr,
    /// For callers that ask which addresses to use.
    pub(super) directory: SocketAddr,
}

/// What may be lost at once.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct Tolerated {
    /// Hosts with a disk.
    #[serde(rename = "machines", default)]
    pub(super) disks: usize,
    /// Data halls.
    #[serde(rename = "zones", default)]
    pub(super) halls: usize,
    /// Regions.
    #[serde(default)]
    pub(super) regions: usize,
}

impl Tolerated {
    /// How many control replicas must count before anything is accepted: one more than half of
    /// them must be left after the loss of as many disks; where halls or regions may go, one in
    /// each of three at least.
    pub(super) fn replicas(self) -> usize {
        let wide = if self.halls > 0 || self.regions > 0 {
            3
        } else {
            1
        };
        (2 * self.disks + 1).max(wide)
    }
}

/// The bounds that are used; the others bind all the same.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct Bounds {
    /// From the order to stop to the process's end by force, in seconds.
    #[serde(rename = "grace_s")]
    pub(super) stop_seconds: f64,
    /// Further sendings for each request, over all hosts.
    #[serde(rename = "retry_budget_ratio")]
    pub(super) retry_ratio: f64,
    /// Further sendings in a window at all times, over all hosts.
    #[serde(rename = "budget_min_retries")]
    pub(super) retry_floor: f64,
    /// The window in which they are counted, in seconds.
    #[serde(rename = "budget_window_s")]
    pub(super) retry_seconds: f64,
    /// The window in which a customer's use is counted, in seconds.
    #[serde(rename = "quota_window_s", default)]
    pub(super) use_seconds: f64,
    /// What more than an allowance is borne, as a part of what it gives in a window.
    #[serde(rename = "quota_overage", default)]
    pub(super) use_part: f64,
    /// What is borne on top, in the allowance's unit.
    #[serde(rename = "quota_slack", default)]
    pub(super) use_slack: f64,
    /// The part (0 to 1) of a service's requests that a version may get before it is trusted.
    #[serde(rename = "exposure_share", default)]
    pub(super) trial_part: f64,
    /// The requests that it may get on top.
    #[serde(rename = "exposure_slack", default)]
    pub(super) trial_on_top: f64,
    /// By how much the rate of a cold server may be exceeded, as a factor.
    #[serde(rename = "cold_overage", default = "exactly")]
    pub(super) cold_factor: f64,
    /// How many requests in a second a cold server bears on top.
    #[serde(rename = "cold_slack", default)]
    pub(super) cold_on_top: f64,
    /// How long an address answer may be kept at most, in seconds.
    #[serde(rename = "ttl_max_s", default = "no_bound")]
    pub(super) answer_seconds: f64,
}

/// The part of the platform's rules under which versions are rolled out.
const ROLLOUTS: &str = "rollout";

/// The longest time that a bound may name, in seconds.
const LONGEST: f64 = 86_400.0;

impl Bounds {
    /// Whether all times are such.
    fn check(self) -> Result<(), String> {
        let times = [
            ("grace_s", self.stop_seconds),
            ("budget_window_s", self.retry_seconds),
            ("quota_window_s", self.use_seconds),
            ("ttl_max_s", self.answer_seconds),
        ];
        for (name, seconds) in times {
            if !(0.0..=LONGEST).contains(&seconds) {
                return Err(format!("{name} is {seconds}, not from 0 to {LONGEST}"));
            }
        }
        if !(0.0..=1.0).contains(&self.trial_part) {
            let part = self.trial_part;
            return Err(format!("exposure_share is {part}, not from 0 to 1"));
        }
        let cold = [self.cold_factor, self.cold_on_top];
        if !cold
            .iter()
            .all(|number| number.is_finite() && *number >= 0.0)
        {
            return Err(format!(
                "cold_overage and cold_slack are {cold:?}, not 0 or more"
            ));
        }
        if !(self.trial_on_top >= 0.0 && self.trial_on_top.is_finite()) {
            let on_top = self.trial_on_top;
            return Err(format!("exposure_slack is {on_top}, not 0 or more"));
        }
        Ok(())
    }
}

/// Where the platform is reached.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct Reached {
    /// Its address.
    pub(super) address: SocketAddr,
    /// How many calls a second it takes from all hosts together; 0 where it does not tell.
    #[serde(rename = "rate_per_s", default)]
    pub(super) rate: f64,
}

fn exactly() -> f64 {
    1.0
}

fn no_bound() -> f64 {
    LONGEST
}

impl Settings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// [`Code::BadSetting`] with the field that is missing or cannot be read.
    pub(crate) fn read(path: &Path) -> Result<Self, Refusal> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|why| bad(path, &why))?;
        let settings = Self::parse(&text).map_err(|why| bad(path, &why))?;
        settings.bounds.check().map_err(|why| bad(path, &why))?;
        Ok(settings)
    }

    /// Reads the file's text.
    pub(super) fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Where the control replica on the host with `ip` is reached.
    pub(super) fn replica(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.own_ports.0)
    }

    /// Whether this process is the one that founds the log.
    pub(super) fn founds(&self) -> bool {
        let first = self.seeds.first();
        self.first_start && first.is_some_and(|first| first.ip() == self.ip)
    }

    /// How much more than an allowance may be let in.
    pub(super) fn tolerance(&self) -> Tolerance {
        Tolerance {
            window: Duration::from_secs_f64(self.bounds.use_seconds),
            ratio: self.bounds.use_part,
            slack: self.bounds.use_slack,
        }
    }

    /// How many sendings past the first are allowed.
    pub(super) fn retries(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.bounds.retry_ratio,
            min_retries: self.bounds.retry_floor,
            window: Duration::from_secs_f64(self.bounds.retry_seconds),
        }
    }

    /// What more than its rate a cold server bears.
    pub(super) fn cold(&self) -> limit::Slack {
        limit::Slack {
            factor: self.bounds.cold_factor,
            extra_requests: self.bounds.cold_on_top,
        }
    }

    /// What is borne of a version that is not trusted yet; none where versions are all alike.
    pub(super) fn rollouts(&self) -> Option<rollout::Bounds> {
        let is_in_force = self.in_force.iter().any(|part| part == ROLLOUTS);
        is_in_force.then_some(rollout::Bounds {
            share: self.bounds.trial_part,
            extra_requests: self.bounds.trial_on_top,
        })
    }

    /// The time after which the platform ends a process that was told to stop.
    pub(super) fn stop_time(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.stop_seconds)
    }
}

fn bad(path: &Path, why: &dyn std::fmt::Display) -> Refusal {
    let detail = format!(
        "{}: {why}; give the file that the platform lays out from deploy/settings.json",
        path.display()
    );
    Refusal::new(Code::BadSetting, detail)
}
