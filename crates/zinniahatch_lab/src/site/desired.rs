//! The desired state that the operator of a site writes into the store.

use super::HOST;
use serde_json::Value;

/// Returns a desired state without client accounts; `more` lists additional plain routes.
pub(super) fn desired_state(version: u64, more: &[&str]) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool, homes: &[&str]| {
        serde_json::json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 20_000, "target_latency_ms": 5_000, "priority": 1,
            "service": "desk", "max_attempts": attempts, "affinity": false,
            "resumable": resumable, "gap_target_ms": 300, "home_regions": homes})
    };
    let mut routes = vec![
        route("plain", "idempotent", 2, false, &[]),
        route("once", "non_idempotent", 3, false, &[]),
        route("stream", "streaming", 2, true, &[]),
        route("stream-once", "streaming", 3, false, &[]),
        route("bound", "idempotent", 2, false, &["north"]),
    ];
    let mut open = route("open", "idempotent", 2, false, &[]);
    open["anonymous"] = Value::Bool(true);
    routes.push(open);
    for name in more {
        routes.push(route(name, "idempotent", 2, false, &[]));
    }
    serde_json::json!({"version": version, "routes": routes,
        "services": [{"name": "desk", "health_path": "/health", "max_conns": 400,
            "warmup_s": 0, "cold_per_s": 0}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}})
}
