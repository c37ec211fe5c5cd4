//! The entries of a page of the platform's list, read one by one from its bytes.
//!
//! Others write entries too: with fields missing or of another type, cut, or with bytes that are no text.
//! Such an entry names no backend server, and the others hold. Read as one document, a page with one bad
//! entry among 1,000 took all 1,000 servers away for as long as the entry was there.

use std::fmt;
use std::net::SocketAddr;

use curlewlift_core::gateway::Server;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

#[cfg(test)]
mod tests;

/// The largest entry, in bytes: some hundred times the usual one.
const LARGEST: usize = 64 << 10;

/// How many places of a page may begin like an entry and be none. Each is read for [`LARGEST`] bytes at most:
/// 32 MB in all, some 50 ms of a core.
const FAILED: usize = 512;

/// A page of the list.
#[derive(Debug, Default)]
pub(super) struct Page {
    /// The servers that its entries name.
    pub(super) servers: Vec<Server>,
    /// The entries that name none.
    pub(super) unreadable: Vec<Unreadable>,
    /// The page that follows; none where this is the last.
    pub(super) next: Option<String>,
}

/// An entry that names no server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Unreadable {
    /// Its place on the page, the first one being 0.
    pub(super) place: usize,
    /// Why it names none.
    pub(super) why: String,
}

/// A page as it is usually written.
#[derive(Deserialize)]
struct Whole<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
    next_token: Option<String>,
}

/// An entry as it is usually written; what it says of its models is not read.
#[derive(Deserialize)]
struct Instance {
    /// What the server calls itself.
    id: String,
    service: String,
    address: SocketAddr,
    /// The data hall.
    zone: String,
    version: String,
    slots: u32,
    /// Whether it takes new work.
    state: State,
    /// How much longer it is cold, in milliseconds. The list would have another version at each fetch, so only whether
    /// it is at all is kept.
    #[serde(rename = "cold_left_ms")]
    cold: f64,
    /// When it began, in milliseconds; an older platform does not tell.
    #[serde(default)]
    born: Option<u64>,
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

impl Page {
    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Where it cannot be told whether another page follows: what is on that one would be taken for gone.
    pub(super) fn read(bytes: &[u8]) -> Result<Self, String> {
        // What is no text within an entry makes that entry's fields unknown names, and nothing else.
        let text = String::from_utf8_lossy(bytes);
        let (entries, next) = match serde_json::from_str::<Whole<'_>>(&text) {
            Ok(whole) => {
                let entries = whole.instances.into_iter();
                let entries = entries.map(|entry| server(entry.get()));
                (entries.collect(), whole.next_token)
            }
            Err(_) => (salvage(&text)?, next(&text)?),
        };
        let mut page = Self {
            next,
            ..Self::default()
        };
        for (place, entry) in Vec::into_iter(entries).enumerate() {
            match entry {
                Ok(server) => page.servers.push(server),
                Err(why) => page.unreadable.push(Unreadable { place, why }),
            }
        }
        Ok(page)
    }
}

/// The server that an entry names, or why it names none.
fn server(entry: &str) -> Result<Server, String> {
    if entry.len() > LARGEST {
        return Err(format!("it has {} bytes", entry.len()));
    }
    let instance: Instance = serde_json::from_str(entry).map_err(told)?;
    let name = instance.id;
    if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("its name cannot be sent in a head".to_owned());
    }
    let incarnation = match instance.born {
        Some(born) => format!("{name}/{born}").into(),
        None => name.as_str().into(),
    };
    Ok(Server {
        incarnation,
        name: name.into(),
        started_ms: instance.born.unwrap_or_default(),
        version: instance.version.parse().map_err(told)?,
        service: instance.service.parse().map_err(told)?,
        address: instance.address,
        hall: instance.zone.into(),
        slots: instance.slots,
        leaving: matches!(instance.state, State::Draining),
        cold: instance.cold > 0.0,
    })
}

fn told(why: impl fmt::Display) -> String {
    why.to_string()
}

/// The entries of a page that is no document as a whole: whatever reads as one, wherever it begins.
fn salvage(text: &str) -> Result<Vec<Result<Server, String>>, String> {
    let list = text.split_once("\"instances\"");
    let (_, mut rest) = list.ok_or("it has no list")?;
    let mut entries = Vec::new();
    let mut failed = 0;
    while let Some(at) = rest.find('{') {
        rest = &rest[at..];
        let most = rest.floor_char_boundary(LARGEST);
        let mut values = serde_json::Deserializer::from_str(&rest[..most]).into_iter::<Value>();
        let value = values.next().and_then(Result::ok);
        let value = value.ok_or_else(|| "it is cut, or no document".to_owned());
        let entry = value.and_then(|value| server(&value.to_string()));
        if entry.is_ok() {
            rest = &rest[values.byte_offset()..];
        } else {
            // An entry that is cut may have taken up the next one.
            rest = &rest[1..];
            failed += 1;
        }
        entries.push(entry);
        if failed > FAILED {
            return Err(format!("over {FAILED} of its entries cannot be read"));
        }
    }
    Ok(entries)
}

/// The page that follows one that is no document as a whole.
fn next(text: &str) -> Result<Option<String>, String> {
    let after = text.rsplit_once("\"next_token\"").map(|(_, after)| after);
    let value = after.and_then(|after| after.trim_start().strip_prefix(':'));
    let value = value.ok_or("it does not say whether another page follows")?;
    let mut values = serde_json::Deserializer::from_str(value).into_iter::<Option<String>>();
    let next = values
        .next()
        .ok_or("it is cut where it names the next page")?;
    next.map_err(told)
}
