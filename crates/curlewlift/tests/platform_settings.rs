//! The platform's settings file: what is needed, what is passed over, what is refused and how.

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use serde_json::json;

/// A whole file as the platform lays it out.
fn settings() -> Value {
    json!({
        "node_name": "front-a-1", "role": "gateway", "machine_class": "front",
        "serves": ["front", "control", "directory"], "ip": "10.1.0.14", "zone": "a",
        "region": "r", "internal_ports": [7600, 7615],
        "seeds": ["10.1.0.14:8229", "10.2.0.4:8229"], "bootstrap": true, "loss_counts": true,
        "data_dir": "/data/gateway", "heartbeat_ms": 1200,
        "listen": {
            "front": "10.1.0.14:8221", "ready": "10.1.0.14:8224",
            "control": "10.1.0.14:8229", "directory": "10.1.0.14:8220",
        },
        "fault_tolerance": { "machines": 1, "zones": 0, "regions": 0 },
        "bounds": {
            "grace_s": 8, "retry_budget_ratio": 0.2, "budget_min_retries": 64,
            "budget_window_s": 10, "quota_window_s": 8, "quota_overage": 0.1,
            "quota_slack": 72000, "ttl_max_s": 5, "revoke_closed": false,
        },
        "cloud": { "address": "10.200.0.35:8225", "rate_per_s": 47.0, "duties": [] },
        "a_field_of_tomorrow": { "any": "thing" },
    })
}

/// What `check` says of a file, with its exit code.
fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let folder = format!("settings-{}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, text).expect("a file");
    run(path.to_str().expect("a path"))
}

fn run(path: &str) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_curlewlift"))
        .args(["check", "platform"])
        .env("CURLEWLIFT_CONFIG", path)
        .output()
        .expect("it runs");
    let mut said = String::from_utf8_lossy(&output.stdout).into_owned();
    said.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), said)
}

#[test]
fn whole_file() {
    let (code, said) = check("whole_file", &settings().to_string());
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("10.1.0.14:8221"), "{said}");
}

#[test]
fn no_disk() {
    let mut settings = settings();
    settings.as_object_mut().expect("fields").remove("data_dir");
    let (code, said) = check("no_disk", &settings.to_string());
    assert_eq!(code, Some(0), "{said}");
}

#[test]
fn missing_fields() {
    for field in ["ip", "zone", "internal_ports", "listen", "bounds", "cloud"] {
        let mut settings = settings();
        settings.as_object_mut().expect("fields").remove(field);
        let (code, said) = check(&format!("missing_{field}"), &settings.to_string());
        assert_eq!(code, Some(2), "{field}");
        assert!(
            said.contains("8001") && said.contains(field),
            "{field}: {said}"
        );
    }
}

#[test]
fn unreadable_values() {
    let cases = [
        ("ip", json!("10.1.0")),
        ("internal_ports", json!([7600])),
        ("seeds", json!(["here"])),
        ("bootstrap", json!("yes")),
    ];
    for (field, value) in cases {
        let mut settings = settings();
        settings[field] = value;
        let (code, said) = check(&format!("unreadable_{field}"), &settings.to_string());
        assert_eq!(code, Some(2), "{field}");
        assert!(said.contains("8001"), "{field}: {said}");
    }
}

#[test]
fn impossible_times() {
    for field in ["grace_s", "budget_window_s", "quota_window_s", "ttl_max_s"] {
        for seconds in [-1.0, 1e300] {
            let mut settings = settings();
            settings["bounds"][field] = json!(seconds);
            let (code, said) = check(&format!("impossible_{field}"), &settings.to_string());
            assert_eq!(code, Some(2), "{field}: {said}");
            assert!(
                said.contains("8001") && said.contains(field),
                "{field}: {said}"
            );
        }
    }
}

#[test]
fn impossible_exposure() {
    let cases = [
        ("exposure_share", -0.1),
        ("exposure_share", 1.5),
        ("exposure_slack", -1.0),
    ];
    for (field, value) in cases {
        let mut settings = settings();
        settings["bounds"][field] = json!(value);
        let (code, said) = check(&format!("impossible_{field}"), &settings.to_string());
        assert_eq!(code, Some(2), "{field}: {said}");
        assert!(
            said.contains("8001") && said.contains(field),
            "{field}: {said}"
        );
    }
}

#[test]
fn no_file() {
    let (code, said) = run("/nowhere/settings.json");
    assert_eq!(code, Some(2));
    assert!(said.contains("/nowhere/settings.json"), "{said}");
    assert!(said.contains("deploy/settings.json"), "{said}");
}
