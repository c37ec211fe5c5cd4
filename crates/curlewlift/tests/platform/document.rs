//! A configuration document as operators send it.

use serde_json::Value;
use serde_json::json;

/// Returns a document with routes of each kind to the service `chat`, and two customers.
pub(crate) fn document(version: u64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool, attempts: u8| {
        json!({
            "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 6000, "target_latency_ms": 2000, "priority": 1,
            "service": "chat", "max_attempts": attempts, "public": false, "sticky": false,
            "resumable": resumable,
        })
    };
    let mut brief = route("brief", "safe", false, 2);
    brief["timeout_ms"] = json!(700);
    let mut open = route("open", "safe", false, 2);
    open["public"] = json!(true);
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", false, 2), route("once", "unsafe", false, 1),
            route("stream", "streaming", false, 1), route("resume", "streaming", true, 2),
            brief, open,
        ],
        "services": [
            { "name": "chat", "health_path": "/health", "max_conns": 100 },
            { "name": "pay", "health_path": "/health", "max_conns": 100 },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "ann", "api_keys": ["key-ann"], "priority": 1, "unit": "tokens",
                "plain_tokens": 100, "rate_per_s": 1_000_000, "burst": 1_000_000,
            },
            {
                "name": "ben", "api_keys": ["key-ben"], "priority": 1, "unit": "tokens",
                "plain_tokens": 100, "rate_per_s": 1, "burst": 250,
            },
        ],
    })
}

/// Adds a route like the first one.
pub(crate) fn add_route(document: &mut Value, name: &str) {
    let routes = document["routes"].as_array_mut();
    let routes = routes.expect("the document has routes");
    let mut route = routes[0].clone();
    route["name"] = json!(name);
    route["path_prefix"] = json!(format!("/{name}/"));
    routes.push(route);
}

/// Returns a document with `extra_routes` more, whose names are all distinct.
pub(crate) fn large_document(version: u64, extra_routes: u32) -> Value {
    let mut large = document(version);
    for number in 0..extra_routes {
        add_route(
            &mut large,
            &format!("{:08x}", number.wrapping_mul(2_654_435_761)),
        );
    }
    large
}
