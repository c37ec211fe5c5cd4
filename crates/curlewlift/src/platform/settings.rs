//! The settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::MemoryBudget;
use curlewlift_core::limit;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::rollout;
use serde::Deserialize;

/// The settings of one process, as in the platform's file.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Settings {
    /// This host's address; the system uses a host's address as its name.
    pub(super) ip: IpAddr,
    /// This host's data hall.
    #[serde(rename = "zone")]
    pub(super) hall: String,
    /// The region of each data hall.
    #[serde(rename = "zones", default)]
    pub(super) halls: BTreeMap<Arc<str>, Arc<str>>,
    /// The first and last of the ports that the system's processes may use among themselves.
    #[serde(rename = "internal_ports")]
    pub(super) process_ports: (u16, u16),
    /// The addresses at which operators reach some of the control replicas.
    #[serde(default)]
    pub(super) seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, on empty disks.
    #[serde(rename = "bootstrap", default)]
    pub(super) first_start: bool,
    /// The host's capacity.
    #[serde(default)]
    pub(super) limits: HostLimits,
    /// The folder for files, on hosts with a disk.
    #[serde(default)]
    pub(super) data_dir: Option<PathBuf>,
    /// The addresses at which this process listens.
    pub(super) listen: Listen,
    /// The simultaneous failures that the system must tolerate.
    #[serde(rename = "fault_tolerance", default)]
    pub(super) tolerated: ToleratedFailures,
    /// The limits that the platform requires the system to keep to.
    pub(super) bounds: Bounds,
    /// How the platform itself is reached.
    #[serde(rename = "cloud")]
    pub(super) platform: PlatformAddress,
    /// The platform's rule sets that are in effect.
    #[serde(rename = "contracts", default)]
    pub(super) active_rules: Vec<String>,
}

/// A host's capacity, as far as this system uses it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct HostLimits {
    /// The capacity of its network link, in Mbit/s.
    #[serde(rename = "link_mbps", default)]
    link_mbit_per_s: f64,
    /// The memory of one process, in MB; 0 if the file does not say.
    #[serde(rename = "memory_mb", default)]
    memory_megabytes: f64,
}

impl HostLimits {
    /// How many bytes requests and responses may hold; no limit if the file does not state the memory.
    pub(super) fn memory_budget(self) -> MemoryBudget {
        let bytes = self.memory_megabytes * 1e6 * HELD_MEMORY_SHARE;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = bytes as usize;
        if limit == 0 {
            MemoryBudget::default()
        } else {
            MemoryBudget::new(limit)
        }
    }

    /// The capacity of its network link, in bytes a second.
    pub(super) fn link_bytes_per_s(self) -> f64 {
        self.link_mbit_per_s * 1e6 / 8.0
    }
}

/// The addresses at which a process listens.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Listen {
    /// For callers.
    #[serde(rename = "front")]
    pub(super) callers: SocketAddr,
    /// For the platform's readiness checks.
    #[serde(rename = "ready")]
    pub(super) readiness: SocketAddr,
    /// For operators.
    #[serde(rename = "control")]
    pub(super) operators: SocketAddr,
    /// For callers that ask which addresses to use.
    pub(super) directory: SocketAddr,
}

/// The simultaneous failures that the system must tolerate.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct ToleratedFailures {
    /// The number of hosts with a disk.
    #[serde(rename = "machines", default)]
    pub(super) disks: usize,
    /// The number of data halls.
    #[serde(rename = "zones", default)]
    pub(super) halls: usize,
    /// The number of regions.
    #[serde(default)]
    pub(super) regions: usize,
}

impl ToleratedFailures {
    /// How many control replicas must be voters before the system accepts anything: a majority of
    /// them must be left after the loss of as many disks as are tolerated. If the loss of a data
    /// hall or region is tolerated, there are at least three replicas, one in each of three.
    pub(super) fn replicas(self) -> usize {
        let min_replicas = if self.halls > 0 || self.regions > 0 {
            3
        } else {
            1
        };
        (2 * self.disks + 1).max(min_replicas)
    }
}

/// The limits that this system reads; it must keep to the others all the same.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct Bounds {
    /// The time from the order to stop until the platform kills the process, in seconds.
    #[serde(rename = "grace_s")]
    pub(super) stop_seconds: f64,
    /// The retries that are allowed for each request, over all hosts.
    #[serde(rename = "retry_budget_ratio")]
    pub(super) retry_ratio: f64,
    /// The retries that are always allowed in a window, over all hosts.
    #[serde(rename = "budget_min_retries")]
    pub(super) min_retries: f64,
    /// The window in which retries are counted, in seconds.
    #[serde(rename = "budget_window_s")]
    pub(super) retry_window_seconds: f64,
    /// The window in which a customer's usage is counted, in seconds.
    #[serde(rename = "quota_window_s", default)]
    pub(super) quota_window_seconds: f64,
    /// By how much a quota may be exceeded, as a fraction of the quota for a window.
    #[serde(rename = "quota_overage", default)]
    pub(super) quota_excess_ratio: f64,
    /// By how much a quota may be exceeded beyond that, in the quota's unit.
    #[serde(default)]
    pub(super) quota_slack: f64,
    /// The share (0 to 1) of a service's requests that a version on trial may get.
    #[serde(rename = "exposure_share", default)]
    pub(super) trial_share: f64,
    /// The number of requests that such a version may get beyond that share.
    #[serde(rename = "exposure_slack", default)]
    pub(super) trial_extra_requests: f64,
    /// The factor by which the rate of a cold server may be exceeded.
    #[serde(rename = "cold_overage", default = "default_cold_factor")]
    pub(super) cold_factor: f64,
    /// The number of requests a second that a cold server may get beyond that.
    #[serde(rename = "cold_slack", default)]
    pub(super) cold_extra_requests: f64,
    /// The time after its acknowledgement from which a configuration is in force at all hosts, in milliseconds.
    #[serde(rename = "config_apply_ms", default = "default_apply_milliseconds")]
    pub(super) apply_milliseconds: f64,
    /// The maximum time for which callers may be told to keep addresses, in seconds.
    #[serde(rename = "ttl_max_s", default = "default_max_ttl_seconds")]
    pub(super) max_ttl_seconds: f64,
}

/// The share of a process's memory that requests and responses may hold. The rest is for connections, tables, lists and
/// the state of a leader.
const HELD_MEMORY_SHARE: f64 = 0.25;

/// The share of the time that a configuration may take for which requests are forwarded by the former one. The rest is for
/// requests that were admitted just before.
const OUTDATED_SHARE: f64 = 0.9;

/// The platform's rule set about roll-outs of versions.
const ROLLOUT_RULES: &str = "rollout";

/// The longest time that a limit may have, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

impl Bounds {
    /// Checks that all values are in range.
    fn check(self) -> Result<(), String> {
        let times = [
            ("grace_s", self.stop_seconds),
            ("budget_window_s", self.retry_window_seconds),
            ("quota_window_s", self.quota_window_seconds),
            ("ttl_max_s", self.max_ttl_seconds),
            ("config_apply_ms", self.apply_milliseconds / 1_000.0),
        ];
        for (name, seconds) in times {
            if !(0.0..=MAX_SECONDS).contains(&seconds) {
                return Err(format!("{name} is {seconds}, not from 0 to {MAX_SECONDS}"));
            }
        }
        if !(0.0..=1.0).contains(&self.trial_share) {
            let share = self.trial_share;
            return Err(format!("exposure_share is {share}, not from 0 to 1"));
        }
        let cold = [self.cold_factor, self.cold_extra_requests];
        if !cold
            .iter()
            .all(|number| number.is_finite() && *number >= 0.0)
        {
            return Err(format!(
                "cold_overage and cold_slack are {cold:?}, not 0 or more"
            ));
        }
        if !(self.trial_extra_requests >= 0.0 && self.trial_extra_requests.is_finite()) {
            let extra_requests = self.trial_extra_requests;
            return Err(format!("exposure_slack is {extra_requests}, not 0 or more"));
        }
        Ok(())
    }
}

/// How the platform is reached.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct PlatformAddress {
    /// Its address.
    pub(super) address: SocketAddr,
    /// How many requests a second it accepts from all hosts together; 0 if the file doesn't say.
    #[serde(rename = "rate_per_s", default)]
    pub(super) rate: f64,
}

fn default_cold_factor() -> f64 {
    1.0
}

fn default_apply_milliseconds() -> f64 {
    2_000.0
}

fn default_max_ttl_seconds() -> f64 {
    MAX_SECONDS
}

impl Settings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// [`Code::BadSetting`] with the field that is missing or cannot be read.
    pub(crate) fn read(path: &Path) -> Result<Self, Refusal> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|why| bad_file(path, &why))?;
        let settings = Self::parse(&text).map_err(|why| bad_file(path, &why))?;
        settings
            .bounds
            .check()
            .map_err(|why| bad_file(path, &why))?;
        Ok(settings)
    }

    /// Parses the file's text.
    pub(super) fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// The address at which the control replica on the host with `ip` is reached.
    pub(super) fn replica_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.process_ports.0)
    }

    /// Where this host tunnels connections to backend servers for others; none if there is no port for that. The first
    /// port is for calls, and the last one for metrics.
    pub(super) fn tunnel_address(&self) -> Option<SocketAddr> {
        let (first, last) = self.process_ports;
        let port = first.saturating_add(1);
        (port < last).then(|| SocketAddr::new(self.ip, port))
    }

    /// The addresses of the hosts that found the replicated log together: on the first start, all seeds.
    pub(super) fn founders(&self) -> impl Iterator<Item = IpAddr> {
        let seeds = self.seeds.iter().filter(|_| self.first_start);
        seeds.map(SocketAddr::ip)
    }

    /// By how much quotas may be exceeded.
    pub(super) fn quota_tolerance(&self) -> Tolerance {
        Tolerance {
            window: Duration::from_secs_f64(self.bounds.quota_window_seconds),
            ratio: self.bounds.quota_excess_ratio,
            slack: self.bounds.quota_slack,
        }
    }

    /// How many retries are allowed.
    pub(super) fn retry_allowance(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.bounds.retry_ratio,
            min_retries: self.bounds.min_retries,
            window: Duration::from_secs_f64(self.bounds.retry_window_seconds),
        }
    }

    /// By how much the rate of a cold server may be exceeded.
    pub(super) fn cold_slack(&self) -> limit::Slack {
        limit::Slack {
            factor: self.bounds.cold_factor,
            extra_requests: self.bounds.cold_extra_requests,
        }
    }

    /// The limits for a version on trial; none if the rules about roll-outs are not in effect.
    pub(super) fn rollout_bounds(&self) -> Option<rollout::Bounds> {
        let rules_active = self.active_rules.iter().any(|rules| rules == ROLLOUT_RULES);
        rules_active.then_some(rollout::Bounds {
            share: self.bounds.trial_share,
            extra_requests: self.bounds.trial_extra_requests,
        })
    }

    /// For how long requests may be forwarded by a table after a newer one was announced. The newer one is acknowledged
    /// later than that.
    pub(super) fn max_outdated(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.apply_milliseconds / 1_000.0 * OUTDATED_SHARE)
    }

    /// The time after which the platform kills a process that was ordered to stop.
    pub(super) fn stop_time(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.stop_seconds)
    }
}

fn bad_file(path: &Path, why: &dyn std::fmt::Display) -> Refusal {
    let detail = format!(
        "{}: {why}; give the file that the platform writes from deploy/settings.json",
        path.display()
    );
    Refusal::new(Code::BadSetting, detail)
}
