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
use curlewlift_core::route::Limits;
use curlewlift_core::route::Regions;
use hyper::body::Incoming;

use crate::control::Gateways;
use crate::control::Known;
use crate::control::Locate;
use crate::gateway::Answer;
use crate::gateway::Environment;
use crate::gateway::Gateway;
use crate::gateway::LocalReplica;
use crate::gateway::Node;
use crate::gateway::StartListeners;
use crate::gateway::StopTiming;
use crate::gateway::serve;
use crate::process;
use crate::process::Clock;
use crate::process::Process;

use super::Settings;
use super::directory;
use super::document;
use super::heads;
use super::instances;
use super::operator;

/// How long callers are told to keep an address answer, in seconds: a host that stops serves on
/// for three times that long, as some keep it.
const KEEP: f64 = 1.0;

/// How many times that some callers keep it.
const KEPT: f64 = 3.0;

/// Beyond that, for a stopping host's word to reach all who answer.
const WORD: Duration = Duration::from_millis(300);

/// The listeners beside the callers' one.
struct Listeners {
    readiness: TcpListener,
    operators: TcpListener,
    directory: TcpListener,
}

/// A gateway on the platform, and a control replica beside it where the host has a disk; to be
/// started.
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
    clock: Clock,
}

impl Platform {
    /// A gateway with the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// [`Code::BadSetting`] where the file cannot be read.
    pub fn new(path: PathBuf) -> Result<Self, Refusal> {
        let settings = Settings::read(&path)?;
        Ok(Self {
            path,
            settings,
            clock: Clock::start(),
        })
    }

    /// Goes by `clock`, and not by one of its own.
    #[must_use]
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Starts it on threads of its own.
    ///
    /// # Errors
    ///
    /// [`Code::BadSetting`] where an address cannot be had.
    pub fn start(self) -> Result<Process, Refusal> {
        start(self.path, self.settings, self.clock)
    }
}

fn start(path: PathBuf, settings: Settings, clock: Clock) -> Result<Process, Refusal> {
    let listen = &settings.listen;
    let callers = process::bind(listen.callers)?;
    let listeners = Listeners {
        readiness: process::bind(listen.readiness)?,
        operators: process::bind(listen.operators)?,
        directory: process::bind(listen.directory)?,
    };
    let keep = KEEP.min(settings.bounds.answer_seconds);
    let known = Known::default();
    let gateway = Gateway {
        host: host(settings.ip)?,
        advertised: gateway::Gateway {
            hall: settings.hall.as_str().into(),
            callers: listen.callers,
        },
        caller_listener: callers,
        dialect: heads::DIALECT,
        retry_allowance: settings.retries(),
        tolerance: settings.tolerance(),
        stop_timing: StopTiming {
            address_lifetime: Duration::from_secs_f64(keep * KEPT) + WORD,
            total: settings.stop_time(),
        },
        local_replica: beside(&settings, &known, &clock)?,
        first_start: settings.first_start,
        list_rate: settings.platform.rate,
        regions: Regions::new(settings.halls.clone()),
        discovery_address: settings.replica(settings.ip),
        known_replicas: known,
        clock,
    };
    gateway.start(move || {
        let environment = surroundings(path, &settings);
        let fetch = instances::fetch(settings.platform.address);
        let also: StartListeners =
            Box::new(move |node, environment| also(node, environment, listeners, keep));
        (environment, fetch, also)
    })
}

/// A host's name: its address, so that whoever knows the name can reach it.
fn host(ip: IpAddr) -> Result<id::Host, Refusal> {
    let name = ip.to_string().parse();
    name.map_err(|why| Refusal::new(Code::BadSetting, format!("{ip}: {why}")))
}

/// How a host is reached by its name.
fn locate(settings: &Settings) -> Locate {
    let port = settings.own_ports.0;
    Arc::new(move |host| {
        let ip: IpAddr = host.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, port))
    })
}

/// The control replica, on a host with a disk.
fn beside(
    settings: &Settings,
    known: &Known,
    clock: &Clock,
) -> Result<Option<LocalReplica>, Refusal> {
    let Some(data) = &settings.data_dir else {
        return Ok(None);
    };
    let mut peers = BTreeMap::new();
    for seed in &settings.seeds {
        peers.insert(host(seed.ip())?, settings.replica(seed.ip()));
    }
    let replicas = settings.tolerated.replicas();
    Ok(Some(LocalReplica {
        rpc: settings.replica(settings.ip),
        data: data.clone(),
        found: settings.founds(),
        peers,
        clock: clock.clone(),
        gateways: Gateways {
            decode: document::table,
            known: known.clone(),
            locate: locate(settings),
            replicas,
            tuning: Tuning {
                tolerance: settings.tolerance(),
                rollouts: settings.rollouts(),
                cold: settings.cold(),
                retries: Some(settings.retries()),
                link_bytes_per_s: settings.limits.link(),
                ..Tuning::default()
            },
        },
    }))
}

fn surroundings(path: PathBuf, settings: &Settings) -> Environment {
    let first = settings.clone();
    Environment {
        // The file may change without a signal.
        seeds: Box::new(move || {
            let settings = Settings::read(&path).unwrap_or_else(|why| {
                log::warn!("the settings are kept as they were: {why}");
                first.clone()
            });
            let seeds = settings.seeds.iter();
            seeds.map(|seed| settings.replica(seed.ip())).collect()
        }),
        locate: locate(settings),
        decode: document::table,
        local_replica: settings
            .data_dir
            .as_ref()
            .map(|_| settings.replica(settings.ip)),
    }
}

/// Serves operators, address questions and the question of readiness.
fn also(
    node: &Rc<Node>,
    environment: &Rc<Environment>,
    listeners: Listeners,
    keep: f64,
) -> Result<(), Refusal> {
    let asked = Rc::clone(node);
    listen(listeners.readiness, move |request| {
        std::future::ready(directory::readiness(&asked, &request))
    })?;
    let asked = Rc::clone(node);
    listen(listeners.directory, move |request| {
        std::future::ready(directory::resolve(&asked, keep, &request))
    })?;
    let node = Rc::clone(node);
    let environment = Rc::clone(environment);
    listen(listeners.operators, move |request| {
        operator::answer(Rc::clone(&node), Rc::clone(&environment), request)
    })
}

fn listen<F, A>(listener: TcpListener, answer: F) -> Result<(), Refusal>
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Answer> + 'static,
{
    let listener = process::listener(listener)?;
    tokio::task::spawn_local(serve(listener, Limits::default, answer));
    Ok(())
}
