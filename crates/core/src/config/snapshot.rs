//! One revision of the configuration.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;

use super::Change;
use super::Customer;
use super::Field;
use super::Host;
use super::Kind;
use super::Operator;
use super::Server;
use super::Service;
use super::State;
use super::Tier;
use super::check;

/// One immutable revision; applying a change returns the next one, which shares unchanged items.
///
/// Applying a change costs one copy of the maps' pointers: linear in the number of items.
///
/// # Examples
///
/// ```
/// use curlewlift_core::config::Snapshot;
/// use curlewlift_core::lang;
/// let empty = Snapshot::default();
/// let lang::Statement::Change(change) = lang::parse("create tier live rank=0")? else {
///     panic!("a change");
/// };
/// let next = empty.apply(&change)?;
/// assert_eq!(next.revision.0, 1);
/// assert_eq!(next.tiers.len(), 1);
/// # Ok::<(), curlewlift_core::code::Refusal>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision's number; 0 is the empty configuration.
    pub revision: id::Revision,
    /// The customers.
    pub customers: BTreeMap<id::Customer, Arc<Customer>>,
    /// The hosts.
    pub hosts: BTreeMap<id::Host, Arc<Host>>,
    /// The operators.
    pub operators: BTreeMap<id::Operator, Arc<Operator>>,
    /// The backend servers.
    pub servers: BTreeMap<id::Server, Arc<Server>>,
    /// The services.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// The tiers.
    pub tiers: BTreeMap<id::Tier, Arc<Tier>>,
}

impl Snapshot {
    /// Applies `change` and returns the next revision.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] with the reason; the change is then not applied at all.
    pub fn apply(&self, change: &Change) -> Result<Self, Refusal> {
        let mut next = self.clone();
        match change {
            Change::Create { kind, name, fields } => next.create(*kind, name, fields)?,
            Change::Alter { kind, name, fields } => next.alter(*kind, name, fields)?,
            Change::Remove { kind, name } => next.remove(*kind, name)?,
            Change::Mark { kind, name, state } => {
                let stops_server = *kind == Kind::Server && *state == State::Stopping;
                if !matches!(kind, Kind::Server | Kind::Host) || stops_server {
                    let why = format!(
                        "a {kind} cannot be {state}: only servers and hosts can be drained, and only hosts stopped"
                    );
                    return Err(Refusal::new(Code::BadValue, why));
                }
                let value = serde_json::to_value(state).unwrap_or(Value::Null);
                let field_name = "state".to_owned();
                let fields = [Field {
                    name: field_name,
                    value,
                }];
                next.alter(*kind, name, &fields)?;
            }
        }
        next.revision = self.revision.next();
        check::check_references(&next)?;
        check::check_floors(self, &next)?;
        Ok(next)
    }

    fn create(&mut self, kind: Kind, name: &str, fields: &[Field]) -> Result<(), Refusal> {
        match kind {
            Kind::Customer => insert(&mut self.customers, kind, name, fields),
            Kind::Host => insert(&mut self.hosts, kind, name, fields),
            Kind::Operator => insert(&mut self.operators, kind, name, fields),
            Kind::Server => insert(&mut self.servers, kind, name, fields),
            Kind::Service => insert(&mut self.services, kind, name, fields),
            Kind::Tier => insert(&mut self.tiers, kind, name, fields),
        }
    }

    fn alter(&mut self, kind: Kind, name: &str, fields: &[Field]) -> Result<(), Refusal> {
        match kind {
            Kind::Customer => update(&mut self.customers, kind, name, fields),
            Kind::Host => update(&mut self.hosts, kind, name, fields),
            Kind::Operator => update(&mut self.operators, kind, name, fields),
            Kind::Server => update(&mut self.servers, kind, name, fields),
            Kind::Service => update(&mut self.services, kind, name, fields),
            Kind::Tier => update(&mut self.tiers, kind, name, fields),
        }
    }

    fn remove(&mut self, kind: Kind, name: &str) -> Result<(), Refusal> {
        match kind {
            Kind::Customer => delete(&mut self.customers, kind, name),
            Kind::Host => delete(&mut self.hosts, kind, name),
            Kind::Operator => delete(&mut self.operators, kind, name),
            Kind::Server => delete(&mut self.servers, kind, name),
            Kind::Service => delete(&mut self.services, kind, name),
            Kind::Tier => delete(&mut self.tiers, kind, name),
        }
    }
}

/// # Look-ups for requests
impl Snapshot {
    /// The customer whose bearer key has the hash `digest`; each comparison takes constant time.
    #[must_use]
    pub fn customer_by_key_hash(&self, digest: &str) -> Option<(&id::Customer, &Arc<Customer>)> {
        use subtle::ConstantTimeEq;
        let mut found = None;
        for pair in &self.customers {
            if bool::from(pair.1.key_hash.as_bytes().ct_eq(digest.as_bytes())) {
                found = Some(pair);
            }
        }
        found
    }

    /// The service that serves `model`.
    #[must_use]
    pub fn service_by_model(&self, model: &str) -> Option<(&id::Service, &Arc<Service>)> {
        let serves =
            |service: &Service| service.model.as_ref().is_some_and(|m| m.as_str() == model);
        self.services.iter().find(|pair| serves(pair.1))
    }

    /// The time within which a first token must arrive to be useful to `customer`, if its tier has
    /// such a limit.
    #[must_use]
    pub fn first_token_limit(&self, customer: &Customer) -> Option<Duration> {
        let tier = self.tiers.get(&customer.tier)?;
        (tier.first_ms > 0).then(|| Duration::from_millis(tier.first_ms))
    }

    /// The rank of `customer`'s tier.
    #[must_use]
    pub fn rank(&self, customer: &Customer) -> u8 {
        self.tiers
            .get(&customer.tier)
            .map_or(u8::MAX, |tier| tier.rank)
    }
}

/// Parses `text` as a name.
fn parse_name<K>(text: &str) -> Result<K, Refusal>
where
    K: FromStr,
    K::Err: Display,
{
    text.parse()
        .map_err(|why: K::Err| Refusal::new(Code::BadValue, why.to_string()))
}

fn unknown_item(kind: Kind, name: &str) -> Refusal {
    Refusal::new(Code::Unknown, format!("there is no {kind} `{name}`"))
}

fn insert<K, T>(
    items: &mut BTreeMap<K, Arc<T>>,
    kind: Kind,
    name: &str,
    fields: &[Field],
) -> Result<(), Refusal>
where
    K: FromStr + Ord,
    K::Err: Display,
    T: DeserializeOwned,
{
    let key: K = parse_name(name)?;
    if items.contains_key(&key) {
        let why = format!("there is already a {kind} `{name}`");
        return Err(Refusal::new(Code::Exists, why));
    }
    let item = merge(Value::Object(serde_json::Map::new()), kind, name, fields)?;
    items.insert(key, Arc::new(item));
    Ok(())
}

fn update<K, T>(
    items: &mut BTreeMap<K, Arc<T>>,
    kind: Kind,
    name: &str,
    fields: &[Field],
) -> Result<(), Refusal>
where
    K: FromStr + Ord,
    K::Err: Display,
    T: DeserializeOwned + Serialize,
{
    let key: K = parse_name(name)?;
    let old = items
        .get_mut(&key)
        .ok_or_else(|| unknown_item(kind, name))?;
    let value = serde_json::to_value(old.as_ref()).unwrap_or_default();
    *old = Arc::new(merge(value, kind, name, fields)?);
    Ok(())
}

fn delete<K, T>(items: &mut BTreeMap<K, Arc<T>>, kind: Kind, name: &str) -> Result<(), Refusal>
where
    K: FromStr + Ord,
    K::Err: Display,
{
    let key: K = parse_name(name)?;
    items
        .remove(&key)
        .map(|_| ())
        .ok_or_else(|| unknown_item(kind, name))
}

/// Sets `fields` in `item`, and decodes the result as the kind's type.
fn merge<T: DeserializeOwned>(
    mut item: Value,
    kind: Kind,
    name: &str,
    fields: &[Field],
) -> Result<T, Refusal> {
    for field in fields {
        item[&field.name] = field.value.clone();
    }
    serde_json::from_value(item)
        .map_err(|why| Refusal::new(Code::BadValue, format!("{kind} `{name}`: {why}")))
}
