//! Routing tables are accepted or refused as a whole. Requests match the rule with the longest prefix, are spread over
//! weighted targets, and are identified by keys.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::route::CustomerPolicy;
use curlewlift_core::route::Homes;
use curlewlift_core::route::Kind;
use curlewlift_core::route::Parts;
use curlewlift_core::route::Quota;
use curlewlift_core::route::Rule;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::route::Table;
use curlewlift_core::route::Target;
use curlewlift_core::route::Unit;

fn target(service: &str, weight: f64) -> Target {
    Target {
        service: service.parse().expect("valid name"),
        weight,
    }
}

fn rule(name: &str, prefix: &str) -> Rule {
    Rule {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        max_gap: None,
        rank: 0,
        targets: vec![target("chat", 1.0)],
        attempts: 1,
        public: false,
        homes: Homes::default(),
    }
}

fn customer(name: &str, keys: &[&str]) -> CustomerPolicy {
    CustomerPolicy {
        name: name.parse().expect("valid name"),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rank: None,
        quota: Quota {
            unit: Unit::Tokens(200),
            rate: 1_000.0,
            burst: 1_000.0,
        },
        homes: Homes::default(),
    }
}

fn parts(rules: Vec<Rule>) -> Parts {
    let policy = ServicePolicy {
        max_connections: 10,
        health_path: "/health".into(),
        cold_rate: None,
        engine: None,
    };
    let services = ["chat", "pay"].map(|name| (name.parse().expect("valid name"), policy.clone()));
    Parts {
        version: 3,
        rules,
        services: BTreeMap::from(services),
        customers: Some(vec![
            customer("ann", &["k1", "k2"]),
            customer("ben", &["k3"]),
        ]),
        ..Parts::default()
    }
}

fn refused(parts: Parts) -> bool {
    Table::new(parts).is_err_and(|refusal| refusal.get_code() == Code::BadValue)
}

#[test]
fn longest_prefix() {
    let table = parts(vec![
        rule("all", "/"),
        rule("a", "/a/"),
        rule("ab", "/a/b/"),
    ]);
    let table = Table::new(table).expect("valid table");
    let found = |host: &str, path: &str| table.find(host, path).map(|rule| rule.name.to_string());
    assert_eq!(found("shop.example", "/a/b/c").as_deref(), Some("ab"));
    assert_eq!(found("shop.example", "/a/bc").as_deref(), Some("a"));
    assert_eq!(found("shop.example", "/ab/").as_deref(), Some("all"));
    assert_eq!(found("SHOP.example:8080", "/a/").as_deref(), Some("a"));
    assert_eq!(found("other.example", "/a/"), None);
}

#[test]
fn invalid_rules() {
    let with_change = |change: fn(&mut Rule)| {
        let mut changed = rule("one", "/a/");
        change(&mut changed);
        parts(vec![changed])
    };
    assert!(refused(with_change(
        |rule| rule.targets[0] = target("none", 1.0)
    )));
    assert!(refused(with_change(|rule| rule.targets[0].weight = 0.0)));
    assert!(refused(with_change(|rule| rule.targets[0].weight = -1.0)));
    assert!(refused(with_change(|rule| rule.targets.clear())));
    assert!(refused(with_change(|rule| rule.timeout = Duration::ZERO)));
    assert!(refused(with_change(|rule| rule.attempts = 0)));
    assert!(refused(with_change(|rule| rule.prefix = "/a".into())));
    assert!(refused(parts(vec![rule("one", "/a/"), rule("two", "/a/")])));
    assert!(!refused(parts(vec![
        rule("one", "/a/"),
        rule("two", "/b/")
    ])));
}

/// Of several errors the first one in the order of the rules is stated, also among rules of other hosts.
#[test]
fn repeated_prefix() {
    let at = |host: &str, prefix: &str| Rule {
        host: host.into(),
        ..rule(prefix, prefix)
    };
    let untimed = Rule {
        timeout: Duration::ZERO,
        ..at("b", "/y/")
    };
    let cases = [
        (vec![at("a", "/x/"), at("b", "/x/"), at("a", "/y/")], None),
        (
            vec![
                at("a", "/x/"),
                at("b", "/x/"),
                at("a", "/x/"),
                untimed.clone(),
            ],
            Some("two rules match a/x/"),
        ),
        (
            vec![at("a", "/x/"), untimed, at("a", "/x/")],
            Some("rule /y/: the timeout is 0"),
        ),
    ];
    for (rules, why) in cases {
        let refusal = Table::new(parts(rules)).err();
        let detail = refusal
            .as_ref()
            .map(curlewlift_core::code::Refusal::get_detail);
        assert_eq!(detail, why);
    }
}

#[test]
fn shared_key() {
    let mut shared = parts(vec![rule("one", "/")]);
    shared.customers = Some(vec![customer("ann", &["k1"]), customer("ben", &["k1"])]);
    assert!(refused(shared));
}

#[test]
fn customers_by_key() {
    let table = Table::new(parts(vec![rule("one", "/")])).expect("valid table");
    let name = |key| {
        table
            .customer(key)
            .map(|customer| customer.name.to_string())
    };
    assert_eq!(name("k2").as_deref(), Some("ann"));
    assert_eq!(name("k3").as_deref(), Some("ben"));
    assert_eq!(name("k4"), None);
    let without_keys = Parts {
        customers: None,
        ..parts(vec![rule("one", "/")])
    };
    assert!(!Table::new(without_keys).expect("valid table").needs_key());
}

#[test]
fn weighted_targets() {
    let mut weighted = rule("one", "/");
    weighted.targets = vec![
        target("chat", 90.0),
        target("pay", 0.0),
        target("pay", 10.0),
    ];
    let picked = |random| weighted.pick_target(random).map(ToString::to_string);
    assert_eq!(picked(0.0).as_deref(), Some("chat"));
    assert_eq!(picked(0.89).as_deref(), Some("chat"));
    assert_eq!(picked(0.95).as_deref(), Some("pay"));
    assert_eq!(picked(0.999_999).as_deref(), Some("pay"));
}
