//! Decodes the operators' configuration document into a routing table.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::id;
use curlewlift_core::route::CustomerPolicy;
use curlewlift_core::route::Engine;
use curlewlift_core::route::Homes;
use curlewlift_core::route::Kind;
use curlewlift_core::route::Limits;
use curlewlift_core::route::Parts;
use curlewlift_core::route::Quota;
use curlewlift_core::route::Rule;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::route::Table;
use curlewlift_core::route::Target;
use curlewlift_core::route::Unit;
use curlewlift_core::state::Publication;
use curlewlift_core::unit::Tokens;
use serde::Deserialize;

/// The configuration document.
#[derive(Deserialize)]
struct Document {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Option<Bounds>,
    tenants: Option<Vec<Tenant>>,
}

#[derive(Deserialize)]
struct Route {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: f64,
    target_latency_ms: Option<f64>,
    gap_target_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    backends: Option<Vec<Backend>>,
    max_attempts: Option<u8>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    allowed_regions: Option<Vec<Arc<str>>>,
}

#[derive(Deserialize)]
struct Backend {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct Service {
    name: String,
    health_path: Option<String>,
    max_conns: Option<u32>,
    /// What its engines are like; missing for a service of plain servers.
    engine: Option<serde_json::Value>,
    /// How many requests a second one of its servers accepts while it is cold; 0 is the same as when it is warm.
    cold_per_s: Option<f64>,
}

#[derive(Clone, Copy, Deserialize)]
struct Bounds {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    unit: Option<String>,
    plain_tokens: Option<u64>,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    allowed_regions: Option<Vec<Arc<str>>>,
}

/// Decodes the routing table of a publication.
///
/// # Errors
///
/// Those of [`decode`], and [`Code::Damaged`] if the document was not packed by this system.
pub(super) fn table(publication: &Publication) -> Result<Table, Refusal> {
    decode(&publication.document.unpack()?)
}

/// Decodes a document; it is accepted or refused as a whole.
///
/// # Errors
///
/// [`Code::BadJson`] if it cannot be parsed, [`Code::BadValue`] if its values are invalid or inconsistent.
pub(super) fn decode(text: &str) -> Result<Table, Refusal> {
    let document: Document = serde_json::from_str(text).map_err(|why| {
        Refusal::new(
            Code::BadJson,
            format!("the configuration document cannot be parsed: {why}"),
        )
    })?;
    let rules = document.routes.into_iter().map(decode_rule);
    let rules = rules.collect::<Result<_, _>>()?;
    let services = document.services.into_iter().map(decode_service);
    let services: BTreeMap<_, _> = services.collect::<Result<_, _>>()?;
    let customers = document.tenants.map(|tenants| {
        let customers = tenants.into_iter().map(decode_customer);
        customers.collect::<Result<Vec<_>, _>>()
    });
    Table::new(Parts {
        version: document.version,
        rules,
        services,
        limits: document
            .limits
            .map_or_else(|| Ok(Limits::default()), decode_limits)?,
        customers: customers.transpose()?,
    })
}

fn decode_rule(route: Route) -> Result<Rule, Refusal> {
    let kind = decode_kind(&route)?;
    let backends = route_backends(&route.name, route.backends, route.service)?;
    let timeout = millis(route.timeout_ms)?;
    let objective = route.target_latency_ms.map_or(Ok(timeout), millis)?;
    let max_gap = route.gap_target_ms.map(millis).transpose()?;
    Ok(Rule {
        kind,
        timeout,
        objective,
        max_gap,
        targets: backends
            .iter()
            .map(decode_target)
            .collect::<Result<_, _>>()?,
        name: route.name.into(),
        host: route.host.to_ascii_lowercase().into(),
        prefix: route.path_prefix.into(),
        rank: route.priority,
        attempts: route.max_attempts.unwrap_or(1),
        public: route.public,
        homes: Homes::new(route.allowed_regions.unwrap_or_default()),
    })
}

fn decode_kind(route: &Route) -> Result<Kind, Refusal> {
    match (route.kind.as_str(), route.resumable) {
        ("safe", _) => Ok(Kind::Safe),
        ("unsafe", _) => Ok(Kind::Unsafe),
        ("streaming", false) => Ok(Kind::Streaming),
        ("streaming", true) => Ok(Kind::Resumable),
        (other, _) => {
            let why = format!("route {}: `{other}` is not a kind of requests", route.name);
            Err(Refusal::new(Code::BadValue, why))
        }
    }
}

/// The backends that a route's requests go to, by weight; without any, its one service.
fn route_backends(
    route: &str,
    backends: Option<Vec<Backend>>,
    service: Option<String>,
) -> Result<Vec<Backend>, Refusal> {
    match (backends, service) {
        (Some(backends), _) if !backends.is_empty() => Ok(backends),
        (_, Some(service)) => Ok(vec![Backend {
            service,
            weight: 1.0,
        }]),
        _ => {
            let why = format!("route {route} names no service");
            Err(Refusal::new(Code::BadValue, why))
        }
    }
}

fn decode_target(backend: &Backend) -> Result<Target, Refusal> {
    Ok(Target {
        service: parse(&backend.service)?,
        weight: backend.weight,
    })
}

fn decode_service(service: Service) -> Result<(id::Service, ServicePolicy), Refusal> {
    let cold_rate = service.cold_per_s.filter(|rate| *rate != 0.0);
    let cold_rate = cold_rate.map(|rate| parse(&rate.to_string())).transpose()?;
    // Figures that cannot be read count as not stated: they only help to place requests.
    let figure =
        |engine: &serde_json::Value, name| engine.get(name).and_then(serde_json::Value::as_u64);
    let engine = service.engine.as_ref().map(|engine| Engine {
        kv_capacity: figure(engine, "kv_capacity").map(Tokens),
        tokens_per_event: figure(engine, "stride").and_then(|tokens| u32::try_from(tokens).ok()),
    });
    let policy = ServicePolicy {
        cold_rate,
        engine,
        max_connections: service.max_conns.unwrap_or(u32::MAX),
        health_path: service.health_path.unwrap_or_default().into(),
    };
    Ok((parse(&service.name)?, policy))
}

fn decode_limits(bounds: Bounds) -> Result<Limits, Refusal> {
    let defaults = Limits::default();
    Ok(Limits {
        header_bytes: bounds.max_header_bytes.unwrap_or(defaults.header_bytes),
        body_bytes: bounds.max_body_bytes.unwrap_or(defaults.body_bytes),
        header_time: bounds
            .header_timeout_ms
            .map_or(Ok(defaults.header_time), millis)?,
        idle_time: bounds
            .idle_timeout_ms
            .map_or(Ok(defaults.idle_time), millis)?,
    })
}

fn decode_customer(tenant: Tenant) -> Result<CustomerPolicy, Refusal> {
    let unit = match tenant.unit.as_deref() {
        Some("tokens") => Unit::Tokens(tenant.plain_tokens.unwrap_or(1)),
        _ => Unit::Requests,
    };
    let limits = [tenant.rate_per_s, tenant.burst];
    if limits
        .iter()
        .any(|number| !number.is_finite() || *number < 0.0)
    {
        let why = format!(
            "tenant {}: the rate or burst is negative or not finite",
            tenant.name
        );
        return Err(Refusal::new(Code::BadValue, why));
    }
    Ok(CustomerPolicy {
        name: parse(&tenant.name)?,
        keys: tenant.api_keys,
        rank: tenant.priority,
        quota: Quota {
            unit,
            rate: tenant.rate_per_s,
            burst: tenant.burst,
        },
        homes: Homes::new(tenant.allowed_regions.unwrap_or_default()),
    })
}

fn parse<T>(text: &str) -> Result<T, Refusal>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse()
        .map_err(|why: T::Err| Refusal::new(Code::BadValue, why.to_string()))
}

/// The longest time that is used: longer than any request is held or any connection is idle.
const MAX_TIME: Duration = Duration::from_hours(24);

/// Converts a time in milliseconds; the result is at most [`MAX_TIME`].
fn millis(number: f64) -> Result<Duration, Refusal> {
    if number.is_finite() && number > MAX_TIME.as_secs_f64() * 1_000.0 {
        return Ok(MAX_TIME);
    }
    Duration::try_from_secs_f64(number / 1_000.0)
        .map_err(|why| Refusal::new(Code::BadValue, format!("{number} ms: {why}")))
}
