//! What must hold in every revision.

use std::collections::BTreeMap;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;

use super::Role;
use super::Snapshot;
use super::State;

/// Whether each name that is used is there, and what must be unique is.
pub(super) fn references(next: &Snapshot) -> Result<(), Refusal> {
    for (name, customer) in &next.customers {
        if !next.tiers.contains_key(&customer.tier) {
            return Err(dangling(
                &format!("customer `{name}`"),
                &format!("tier `{}`", customer.tier),
            ));
        }
        if customer.weight == 0 {
            let why = format!("customer `{name}`: weight must be 1 or more");
            return Err(Refusal::new(Code::BadValue, why));
        }
        key_hash(&format!("customer `{name}`"), &customer.key_hash)?;
    }
    for (name, operator) in &next.operators {
        key_hash(&format!("operator `{name}`"), &operator.key_hash)?;
    }
    for (name, server) in &next.servers {
        if !next.services.contains_key(&server.service) {
            let missing = format!("service `{}`", server.service);
            return Err(dangling(&format!("server `{name}`"), &missing));
        }
        if server.slots == 0 || server.prefill.0 == 0 || server.decode.0 == 0 {
            let why = format!("server `{name}`: slots, prefill and decode must be 1 or more");
            return Err(Refusal::new(Code::BadValue, why));
        }
    }
    unique(next)
}

fn unique(next: &Snapshot) -> Result<(), Refusal> {
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

/// Whether a change leaves each service its floor of live servers, and each hall an entry.
pub(super) fn floors(old: &Snapshot, next: &Snapshot) -> Result<(), Refusal> {
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

fn live_servers(of: &Snapshot, service: &id::Service) -> u32 {
    let live = of
        .servers
        .values()
        .filter(|server| &server.service == service);
    let count = live.filter(|server| server.state == State::Live).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn live_entries(of: &Snapshot, hall: &id::Hall) -> usize {
    let entries = of.hosts.values().filter(|host| host.role == Role::Entry);
    entries
        .filter(|host| &host.hall == hall && host.state == State::Live)
        .count()
}

fn dangling(user: &str, missing: &str) -> Refusal {
    Refusal::new(
        Code::InUse,
        format!("{user} needs {missing}, which would not be there"),
    )
}

/// Whether `hash` is a SHA-256 in hexadecimal.
fn key_hash(user: &str, hash: &str) -> Result<(), Refusal> {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if hash.len() == 64 && hash.bytes().all(hex) {
        return Ok(());
    }
    let why = format!("{user}: key_hash must be 64 hexadecimal digits, the key's SHA-256");
    Err(Refusal::new(Code::BadValue, why))
}
