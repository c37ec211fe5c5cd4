//! The platform's settings file: which fields are required, which are ignored, and how invalid files are refused.

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use serde_json::json;

/// A complete file as the platform writes it.
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

/// Runs the command `check` on a file with the content `text`; returns its exit code and output.
fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let folder = format!("settings-{}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, text).expect("a file");
    run_check(path.to_str().expect("a path"))
}

/// Runs the command `check` on the file at `path`.
fn run_check(path: &str) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_curlewlift"))
        .args(["check", "platform"])
        .env("CURLEWLIFT_CONFIG", path)
        .output()
        .expect("the command runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), text)
}

#[test]
fn complete_file() {
    let (code, output) = check("whole_file", &settings().to_string());
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("10.1.0.14:8221"), "{output}");
}

#[test]
fn no_disk() {
    let mut settings = settings();
    settings.as_object_mut().expect("fields").remove("data_dir");
    let (code, output) = check("no_disk", &settings.to_string());
    assert_eq!(code, Some(0), "{output}");
}

#[test]
fn missing_fields() {
    for field in ["ip", "zone", "internal_ports", "listen", "bounds", "cloud"] {
        let mut settings = settings();
        settings.as_object_mut().expect("fields").remove(field);
        let (code, output) = check(&format!("missing_{field}"), &settings.to_string());
        assert_eq!(code, Some(2), "{field}");
        assert!(
            output.contains("8001") && output.contains(field),
            "{field}: {output}"
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
        let (code, output) = check(&format!("unreadable_{field}"), &settings.to_string());
        assert_eq!(code, Some(2), "{field}");
        assert!(output.contains("8001"), "{field}: {output}");
    }
}

#[test]
fn impossible_times() {
    for field in ["grace_s", "budget_window_s", "quota_window_s", "ttl_max_s"] {
        for seconds in [-1.0, 1e300] {
            let mut settings = settings();
            settings["bounds"][field] = json!(seconds);
            let (code, output) = check(&format!("impossible_{field}"), &settings.to_string());
            assert_eq!(code, Some(2), "{field}: {output}");
            assert!(
                output.contains("8001") && output.contains(field),
                "{field}: {output}"
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
        let (code, output) = check(&format!("impossible_{field}"), &settings.to_string());
        assert_eq!(code, Some(2), "{field}: {output}");
        assert!(
            output.contains("8001") && output.contains(field),
            "{field}: {output}"
        );
    }
}

#[test]
fn no_file() {
    let (code, output) = run_check("/nowhere/settings.json");
    assert_eq!(code, Some(2));
    assert!(output.contains("/nowhere/settings.json"), "{output}");
    assert!(output.contains("deploy/settings.json"), "{output}");
}
