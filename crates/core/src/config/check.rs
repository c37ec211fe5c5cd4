//! Checks of a new revision of the configuration.

use std::collections::BTreeMap;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;

use super::Role;
use super::Snapshot;
use super::State;

/// Checks that each item that is referred to exists, and that ranks, keys and models are unique.
pub(super) fn check_references(next: &Snapshot) -> Result<(), Refusal> {
    for (name, customer) in &next.customers {
        if !next.tiers.contains_key(&customer.tier) {
            return Err(missing_reference(
                &format!("customer `{name}`"),
                &format!("tier `{}`", customer.tier),
            ));
        }
        if customer.weight == 0 {
            let why = format!("customer `{name}`: weight must be 1 or more");
            return Err(Refusal::new(Code::BadValue, why));
        }
        check_key_hash(&format!("customer `{name}`"), &customer.key_hash)?;
    }
    for (name, operator) in &next.operators {
        check_key_hash(&format!("operator `{name}`"), &operator.key_hash)?;
    }
    for (name, server) in &next.servers {
        if !next.services.contains_key(&server.service) {
            let missing = format!("service `{}`", server.service);
            return Err(missing_reference(&format!("server `{name}`"), &missing));
        }
        if server.slots == 0 || server.prefill.0 == 0 || server.decode.0 == 0 {
            let why = format!("server `{name}`: slots, prefill and decode must be 1 or more");
            return Err(Refusal::new(Code::BadValue, why));
        }
    }
    check_unique(next)
}

fn check_unique(next: &Snapshot) -> Result<(), Refusal> {
    let mut ranks = BTreeMap::new();
    for (name, tier) in &next.tiers {
        if let Some(other) = ranks.insert(tier.rank, name) {
            let why = format!("tiers `{other}` and `{name}` both have rank {}", tier.rank);
            return Err(Refusal::new(Code::BadValue, why));
        }
    }
    let mut hashes = BTreeMap::new();
    for (name, customer) in &next.customers {
        if let Some(other) = hashes.insert(&customer.key_hash, name) {
            let why = format!("customers `{other}` and `{name}` have the same key");
            return Err(Refusal::new(Code::BadValue, why));
        }
    }
    let mut models = BTreeMap::new();
    for (name, service) in &next.services {
        let Some(model) = &service.model else {
            continue;
        };
        if let Some(other) = models.insert(model, name) {
            let why = format!("services `{other}` and `{name}` both serve model `{model}`");
            return Err(Refusal::new(Code::BadValue, why));
        }
    }
    Ok(())
}

/// Checks that a change leaves each service its minimum of live servers, and each data hall a live
/// entry.
pub(super) fn check_floors(old: &Snapshot, next: &Snapshot) -> Result<(), Refusal> {
    for (name, service) in &next.services {
        let before = live_servers(old, name);
        let after = live_servers(next, name);
        if after < before && after < service.floor {
            let why = format!(
                "service `{name}` would keep {after} live servers and must keep {}",
                service.floor
            );
            return Err(Refusal::new(Code::Floor, why));
        }
    }
    for host in old.hosts.values() {
        let before = live_entries(old, &host.hall);
        let after = live_entries(next, &host.hall);
        if before > 0 && after == 0 {
            let why = format!("data hall `{}` would keep no live entry", host.hall);
            return Err(Refusal::new(Code::Floor, why));
        }
    }
    Ok(())
}

fn live_servers(snapshot: &Snapshot, service: &id::Service) -> u32 {
    let live = snapshot
        .servers
        .values()
        .filter(|server| &server.service == service);
    let count = live.filter(|server| server.state == State::Live).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn live_entries(snapshot: &Snapshot, hall: &id::Hall) -> usize {
    let entries = snapshot
        .hosts
        .values()
        .filter(|host| host.role == Role::Entry);
    entries
        .filter(|host| &host.hall == hall && host.state == State::Live)
        .count()
}

fn missing_reference(user: &str, missing: &str) -> Refusal {
    Refusal::new(
        Code::InUse,
        format!("{user} needs {missing}, which would not exist"),
    )
}

/// Checks that `hash` is a SHA-256 in hexadecimal.
fn check_key_hash(user: &str, hash: &str) -> Result<(), Refusal> {
    let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if hash.len() == 64 && hash.bytes().all(is_hex) {
        return Ok(());
    }
    let why = format!("{user}: key_hash must be 64 hexadecimal digits, the key's SHA-256");
    Err(Refusal::new(Code::BadValue, why))
}
