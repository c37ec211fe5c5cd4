//! Starts a gateway on the platform.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::Request;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::gateway;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::route::Limits;
use curlewlift_core::route::Regions;
use hyper::body::Incoming;

use crate::control::Gateways;
use crate::control::KnownHosts;
use crate::control::Locate;
use crate::control::StoppingGateways;
use crate::gateway::Answer;
use crate::gateway::Environment;
use crate::gateway::Gateway;
use crate::gateway::LocalReplica;
use crate::gateway::Node;
use crate::gateway::StartListeners;
use crate::gateway::StopTiming;
use crate::gateway::serve;
use crate::links::Links;
use crate::process;
use crate::process::Clock;
use crate::process::Process;

use super::Settings;
use super::directory;
use super::document;
use super::headers;
use super::instances;
use super::operator;

/// For how long callers are told to keep addresses, in seconds. Some callers keep them for up to three
/// times that long, so a host that stops keeps serving for as long.
const ADDRESS_TTL_SECONDS: f64 = 1.0;

/// How many times longer than that some callers keep addresses.
const ADDRESS_TTL_OVERRUN: f64 = 3.0;

/// For how long after a termination signal callers' requests may be cut off by the end of the process, if they run until
/// then.
const CUT_TOLERANCE: Duration = Duration::from_secs(3);

/// The listeners other than the callers' one.
struct Listeners {
    readiness: TcpListener,
    operators: TcpListener,
    directory: TcpListener,
}

/// A gateway on the platform that is to be started, with a control replica next to it if the host has
/// a disk.
///
/// # Examples
///
/// ```no_run
/// let process = curlewlift::Platform::new("settings.json".into())?.start()?;
/// process.stop();
/// process.wait()?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Platform {
    path: PathBuf,
    settings: Settings,
    scheduling: Scheduling,
    clock: Clock,
    links: Links,
}

impl Platform {
    /// A gateway with the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// [`Code::BadSetting`] if the file cannot be read.
    pub fn new(path: PathBuf) -> Result<Self, Refusal> {
        let settings = Settings::read(&path)?;
        Ok(Self {
            path,
            settings,
            scheduling: Scheduling::default(),
            clock: Clock::start(),
            links: Links::default(),
        })
    }

    /// Uses `clock` instead of a clock of its own.
    #[must_use]
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Uses `links` to connect to backend servers.
    #[must_use]
    pub fn links(mut self, links: Links) -> Self {
        self.links = links;
        self
    }

    /// Switches on parts of scheduling under hard load.
    #[must_use]
    pub fn scheduling(mut self, scheduling: Scheduling) -> Self {
        self.scheduling = scheduling;
        self
    }

    /// Starts it on its own threads.
    ///
    /// # Errors
    ///
    /// [`Code::BadSetting`] if it cannot listen at one of its addresses.
    pub fn start(self) -> Result<Process, Refusal> {
        start(self)
    }
}

fn start(platform: Platform) -> Result<Process, Refusal> {
    let Platform {
        path,
        settings,
        scheduling,
        clock,
        links,
    } = platform;
    let listen = &settings.listen;
    let callers = process::bind(listen.callers)?;
    let listeners = Listeners {
        readiness: process::bind(listen.readiness)?,
        operators: process::bind(listen.operators)?,
        directory: process::bind(listen.directory)?,
    };
    let ttl_seconds = ADDRESS_TTL_SECONDS.min(settings.bounds.max_ttl_seconds);
    let address_lifetime = Duration::from_secs_f64(ttl_seconds * ADDRESS_TTL_OVERRUN);
    let known = KnownHosts::default();
    let stopping = StoppingGateways::default();
    let gateway = Gateway {
        host: host_name(settings.ip)?,
        advertised: gateway::Gateway {
            hall: settings.hall.as_str().into(),
            callers: listen.callers,
            tunnels: settings.tunnel_address(),
            incarnation: 0,
        },
        caller_listener: callers,
        dialect: headers::DIALECT,
        retry_allowance: settings.retry_allowance(),
        tolerance: settings.quota_tolerance(),
        max_outdated: settings.max_outdated(),
        stop_timing: StopTiming {
            address_lifetime,
            tentative: address_lifetime.min(CUT_TOLERANCE),
            grace: settings.stop_time(),
        },
        local_replica: control_replica(&settings, scheduling, &known, &stopping, &clock)?,
        first_start: settings.first_start,
        list_rate: settings.platform.rate,
        regions: Regions::new(settings.halls.clone()),
        memory_budget: settings.limits.memory_budget(),
        link_bytes_per_s: settings.limits.link_bytes_per_s(),
        scheduling,
        discovery_address: settings.replica_address(settings.ip),
        known_replicas: known,
        stopping_gateways: stopping,
        clock,
        links,
    };
    gateway.start(move || {
        let environment = environment(path, &settings);
        let fetch = instances::fetch(settings.platform.address);
        let begin: StartListeners = Box::new(move |node, environment| {
            serve_platform(node, environment, listeners, ttl_seconds)
        });
        (environment, fetch, begin)
    })
}

/// A host's name: its address, so that a process that knows the name can reach the host.
fn host_name(ip: IpAddr) -> Result<id::Host, Refusal> {
    let name = ip.to_string().parse();
    name.map_err(|why| Refusal::new(Code::BadSetting, format!("{ip}: {why}")))
}

/// Returns a function that turns a host's name into the address of its processes.
fn locate(settings: &Settings) -> Locate {
    let port = settings.process_ports.0;
    Arc::new(move |host| {
        let ip: IpAddr = host.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, port))
    })
}

/// The control replica to start next to the gateway, if the host has a disk.
fn control_replica(
    settings: &Settings,
    scheduling: Scheduling,
    known: &KnownHosts,
    stopping: &StoppingGateways,
    clock: &Clock,
) -> Result<Option<LocalReplica>, Refusal> {
    let Some(data) = &settings.data_dir else {
        return Ok(None);
    };
    let mut peers = BTreeMap::new();
    for seed in &settings.seeds {
        peers.insert(host_name(seed.ip())?, settings.replica_address(seed.ip()));
    }
    let replicas = settings.tolerated.replicas();
    Ok(Some(LocalReplica {
        rpc: settings.replica_address(settings.ip),
        data: data.clone(),
        founders: settings
            .founders()
            .map(host_name)
            .collect::<Result<_, _>>()?,
        peers,
        clock: clock.clone(),
        gateways: Gateways {
            decode: document::table,
            known: known.clone(),
            stopping: stopping.clone(),
            locate: locate(settings),
            replicas,
            tuning: Tuning {
                tolerance: settings.quota_tolerance(),
                rollouts: settings.rollout_bounds(),
                cold: settings.cold_slack(),
                retries: Some(settings.retry_allowance()),
                scheduling,
                link_bytes_per_s: settings.limits.link_bytes_per_s(),
                ..Tuning::default()
            },
        },
    }))
}

fn environment(path: PathBuf, settings: &Settings) -> Environment {
    let first_settings = settings.clone();
    let port = settings.process_ports.0;
    Environment {
        // The platform may change the file without notice, so it is read each time.
        seeds: Box::new(move || {
            let settings = Settings::read(&path).unwrap_or_else(|why| {
                log::warn!(
                    "the settings file cannot be read; the settings of the start are used: {why}"
                );
                first_settings.clone()
            });
            let seeds = settings.seeds.iter();
            seeds
                .map(|seed| settings.replica_address(seed.ip()))
                .collect()
        }),
        locate: locate(settings),
        locate_gateway: Box::new(move |callers| SocketAddr::new(callers.ip(), port)),
        operators: settings.listen.operators,
        decode: document::table,
        local_replica: settings
            .data_dir
            .as_ref()
            .map(|_| settings.replica_address(settings.ip)),
    }
}

/// Serves operators, callers' requests for addresses, and the platform's readiness checks.
fn serve_platform(
    node: &Rc<Node>,
    environment: &Rc<Environment>,
    listeners: Listeners,
    ttl_seconds: f64,
) -> Result<(), Refusal> {
    let readiness_node = Rc::clone(node);
    listen(listeners.readiness, move |request| {
        std::future::ready(directory::readiness(&readiness_node, &request))
    })?;
    let directory_node = Rc::clone(node);
    listen(listeners.directory, move |request| {
        std::future::ready(directory::resolve(&directory_node, ttl_seconds, &request))
    })?;
    let node = Rc::clone(node);
    let environment = Rc::clone(environment);
    listen(listeners.operators, move |request| {
        operator::respond(Rc::clone(&node), Rc::clone(&environment), request)
    })
}

fn listen<F, A>(listener: TcpListener, respond: F) -> Result<(), Refusal>
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Answer> + 'static,
{
    let listener = process::tokio_listener(listener)?;
    tokio::task::spawn_local(serve(listener, Limits::default, respond));
    Ok(())
}
