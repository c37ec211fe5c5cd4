//! Decodes a page of the platform's list of backend servers, entry by entry.
//!
//! Other programs write entries too, and some are malformed: fields are missing or of another type, the entry
//! is truncated, or it contains bytes that are not UTF-8. Such an entry is left out, and the others are used.
//! If the page were decoded as one document, a single malformed entry among 1,000 would hide all 1,000 servers
//! for as long as it is on the list.

use std::fmt;
use std::net::SocketAddr;

use curlewlift_core::gateway::Server;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

#[cfg(test)]
mod tests;

/// The largest entry, in bytes: about a hundred times the typical one.
const MAX_ENTRY_BYTES: usize = 64 << 10;

/// At how many positions of a damaged page decoding an entry may fail before the page is given up. Each attempt reads
/// at most [`MAX_ENTRY_BYTES`]: 32 MB in all, about 50 ms of one core.
const MAX_FAILED_ENTRIES: usize = 512;

/// A page of the list.
#[derive(Debug, Default)]
pub(super) struct Page {
    /// The servers of the entries that could be decoded.
    pub(super) servers: Vec<Server>,
    /// The entries that could not be decoded.
    pub(super) unreadable: Vec<Unreadable>,
    /// The token of the next page; none on the last page.
    pub(super) next: Option<String>,
}

/// An entry that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Unreadable {
    /// Its index on the page, from 0.
    pub(super) index: usize,
    /// The reason.
    pub(super) why: String,
}

/// A well-formed page.
#[derive(Deserialize)]
struct WellFormedPage<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
    next_token: Option<String>,
}

/// A well-formed entry; its models are ignored.
#[derive(Deserialize)]
struct Instance {
    /// The name that the server calls itself by.
    id: String,
    service: String,
    address: SocketAddr,
    /// The data hall.
    zone: String,
    version: String,
    slots: u32,
    /// Whether it accepts new work.
    state: State,
    /// How much longer it is cold, in milliseconds. The value changes at each fetch, which would give the list a new
    /// version each time, so only whether it is above zero is used.
    #[serde(rename = "cold_left_ms")]
    cold_ms: f64,
    /// When it was started, in milliseconds; older platforms leave it out.
    #[serde(rename = "born", default)]
    started_ms: Option<u64>,
}

/// Whether a server accepts new work.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

impl Page {
    /// Decodes a page.
    ///
    /// # Errors
    ///
    /// If the page doesn't say whether another page follows: the servers of that page would be taken for removed.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, String> {
        // Bytes that are not UTF-8 are replaced; that can spoil only the entry in which they are.
        let text = String::from_utf8_lossy(bytes);
        let (entries, next) = match serde_json::from_str::<WellFormedPage<'_>>(&text) {
            Ok(page) => {
                let entries = page.instances.into_iter();
                let entries = entries.map(|entry| decode_entry(entry.get()));
                (entries.collect(), page.next_token)
            }
            Err(_) => (find_entries(&text)?, find_next_token(&text)?),
        };
        let mut page = Self {
            next,
            ..Self::default()
        };
        for (index, entry) in Vec::into_iter(entries).enumerate() {
            match entry {
                Ok(server) => page.servers.push(server),
                Err(why) => page.unreadable.push(Unreadable { index, why }),
            }
        }
        Ok(page)
    }
}

/// Decodes an entry into its server; the error says why that is not possible.
fn decode_entry(entry: &str) -> Result<Server, String> {
    if entry.len() > MAX_ENTRY_BYTES {
        return Err(format!(
            "the entry has {} bytes, more than {MAX_ENTRY_BYTES}",
            entry.len()
        ));
    }
    let instance: Instance = serde_json::from_str(entry).map_err(error_text)?;
    let name = instance.id;
    if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("the server's name cannot be sent in a header".to_owned());
    }
    let incarnation = match instance.started_ms {
        Some(started_ms) => format!("{name}/{started_ms}").into(),
        None => name.as_str().into(),
    };
    Ok(Server {
        incarnation,
        name: name.into(),
        started_ms: instance.started_ms.unwrap_or_default(),
        version: instance.version.parse().map_err(error_text)?,
        service: instance.service.parse().map_err(error_text)?,
        address: instance.address,
        hall: instance.zone.into(),
        slots: instance.slots,
        leaving: matches!(instance.state, State::Draining),
        cold: instance.cold_ms > 0.0,
    })
}

fn error_text(why: impl fmt::Display) -> String {
    why.to_string()
}

/// Finds the entries of a page that is not a valid document: whatever can be decoded as an entry, wherever it begins.
fn find_entries(text: &str) -> Result<Vec<Result<Server, String>>, String> {
    let list = text.split_once("\"instances\"");
    let (_, mut rest) = list.ok_or("the page has no list of instances")?;
    let mut entries = Vec::new();
    let mut failed = 0;
    while let Some(start) = rest.find('{') {
        rest = &rest[start..];
        let max_end = rest.floor_char_boundary(MAX_ENTRY_BYTES);
        let mut values = serde_json::Deserializer::from_str(&rest[..max_end]).into_iter::<Value>();
        let value = values.next().and_then(Result::ok);
        let value = value.ok_or_else(|| "the entry is truncated or not valid JSON".to_owned());
        let entry = value.and_then(|value| decode_entry(&value.to_string()));
        if entry.is_ok() {
            rest = &rest[values.byte_offset()..];
        } else {
            // A truncated entry may extend into the next one, so the search goes on just behind its start.
            rest = &rest[1..];
            failed += 1;
        }
        entries.push(entry);
        if failed > MAX_FAILED_ENTRIES {
            return Err(format!(
                "more than {MAX_FAILED_ENTRIES} entries of the page cannot be decoded"
            ));
        }
    }
    Ok(entries)
}

/// Finds the token of the next page on a page that is not a valid document. It must follow the entries: a response without
/// a length may break off between two of them, and nothing but the token shows that all have arrived.
fn find_next_token(text: &str) -> Result<Option<String>, String> {
    let entries = text
        .rsplit_once("\"instances\"")
        .map(|(_, entries)| entries);
    let after = entries.and_then(|entries| entries.rsplit_once("\"next_token\""));
    let value = after.and_then(|(_, after)| after.trim_start().strip_prefix(':'));
    let value = value.ok_or("the page does not say whether another page follows")?;
    let mut values = serde_json::Deserializer::from_str(value).into_iter::<Option<String>>();
    let token = values
        .next()
        .ok_or("the page is truncated in the token of the next page")?;
    token.map_err(error_text)
}
