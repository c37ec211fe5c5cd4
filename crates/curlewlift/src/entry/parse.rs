//! Reads what callers send.

use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::Method;
use axum::http::header;
use bytes::Bytes;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::config;
use curlewlift_core::fleet::Prefix;
use curlewlift_core::id;
use curlewlift_core::unit::Tokens;
use serde_json::Value;

use super::issue;
use super::node::Node;
use super::request::Call;
use super::request::Request;
use super::request::Shape;

/// The header with the request key.
pub(super) const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The header with the time in which the answer must be whole, in milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("curlewlift-deadline-ms");

/// The longest request key, in bytes.
const LONGEST_KEY: usize = 200;

/// The deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(2);

/// The longest deadline, in milliseconds.
const LONGEST_DEADLINE: u64 = 3_600_000;

/// Tokens of an answer that names no limit.
const DEFAULT_OUTPUT: Tokens = Tokens(1_024);

/// Bytes of text in a token, about.
const BYTES_PER_TOKEN: usize = 4;

/// Beginnings of a prompt that are told to the owner.
const PREFIXES: usize = 4;

/// Who sends a request, and how it may name it.
pub(super) struct Sender {
    pub(super) customer: id::Customer,
    pub(super) rights: Arc<config::Customer>,
}

/// The value of a header that may stand once.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Refusal::new(
            Code::BadHeader,
            format!("`{name}` is given more than once"),
        ));
    }
    let text = first.to_str();
    text.map(Some)
        .map_err(|_| Refusal::new(Code::BadHeader, format!("`{name}` is not text")))
}

/// The request key that the headers name, or a new one; and whether they name it.
fn key(node: &Node, headers: &HeaderMap) -> Result<(String, bool), Refusal> {
    let Some(text) = single(headers, &KEY)? else {
        return Ok((issue::draw(&node.member), false));
    };
    if text.is_empty() || text.len() > LONGEST_KEY {
        let why = format!("`{KEY}` must have 1 to {LONGEST_KEY} characters");
        return Err(Refusal::new(Code::BadHeader, why));
    }
    Ok((text.to_owned(), true))
}

/// The view that a key tells: `vNUMBER.` at its beginning, as the address answer gives it.
pub(super) fn stamp(key: &str) -> Option<id::View> {
    let (number, _) = key.strip_prefix('v')?.split_once('.')?;
    number.parse().ok()
}

fn deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(text) = single(headers, &DEADLINE)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let millis: i64 = text.parse().map_err(|_| {
        Refusal::new(
            Code::BadHeader,
            format!("`{DEADLINE}: {text}` is no number of milliseconds"),
        )
    })?;
    let left = u64::try_from(millis).ok().filter(|millis| *millis > 0);
    let why = "the deadline had passed when the request arrived";
    let left = left.ok_or_else(|| Refusal::new(Code::PastDeadline, why))?;
    Ok(Duration::from_millis(left.min(LONGEST_DEADLINE)))
}

/// A chat or text completion.
pub(super) fn completion(
    node: &Node,
    sender: Sender,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Request, Refusal> {
    let json: Value = serde_json::from_slice(&body)
        .map_err(|why| Refusal::new(Code::BadJson, format!("the body is not JSON: {why}")))?;
    let Some(object) = json.as_object() else {
        return Err(Refusal::new(
            Code::BadJson,
            "the body must be a JSON object",
        ));
    };
    let model = object.get("model").ok_or_else(|| missing("model"))?;
    let model = model
        .as_str()
        .ok_or_else(|| wrong_type("model", "a string"))?;
    let snapshot = node.snapshot();
    let unknown = || {
        Refusal::new(
            Code::UnknownModel,
            format!("no service has the model `{model}`"),
        )
    };
    let (service, _) = snapshot.service(model).ok_or_else(unknown)?;
    let stream = flag(object, "stream")?;
    let output = limit(object)?;
    let texts = prompt(object)?;
    let characters: usize = texts.iter().map(String::len).sum();
    let call = Call {
        method: Method::POST,
        path: path.to_owned(),
        headers: passed(headers),
        body,
    };
    let mut request = request(node, sender, service.clone(), headers, call)?;
    request.shape = if stream { Shape::Stream } else { Shape::Whole };
    request.prompt = tokens(characters);
    request.output = output;
    let owner = (!request.rights.shared_prefixes).then_some(request.customer.as_str());
    request.prefixes = prefixes(owner, &texts);
    Ok(request)
}

/// A call of a plain service.
pub(super) fn plain(
    node: &Node,
    sender: Sender,
    service: &str,
    call: Call,
    headers: &HeaderMap,
) -> Result<Request, Refusal> {
    let unknown = || {
        Refusal::new(
            Code::UnknownService,
            format!("there is no service `{service}`"),
        )
    };
    let service: id::Service = service.parse().map_err(|_| unknown())?;
    let snapshot = node.snapshot();
    let known = snapshot.services.get(&service).ok_or_else(unknown)?;
    let sole = known
        .sole
        .iter()
        .any(|rule| fits(rule, &call.method, &call.path));
    let mut request = request(node, sender, service, headers, call)?;
    request.sole = sole;
    Ok(request)
}

fn request(
    node: &Node,
    sender: Sender,
    service: id::Service,
    headers: &HeaderMap,
    call: Call,
) -> Result<Request, Refusal> {
    let (key_text, keyed) = key(node, headers)?;
    let left = deadline(headers)?;
    Ok(Request {
        key: id::Key::new(&sender.customer, &key_text),
        stamp: stamp(&key_text),
        key_text,
        keyed,
        customer: sender.customer,
        rights: sender.rights,
        service,
        sole: false,
        shape: Shape::Whole,
        digest: digest(&call),
        prompt: tokens(call.body.len()),
        call,
        output: Tokens(1),
        prefixes: Vec::new(),
        deadline: node.now() + left,
        ticket: node.next_ticket(),
    })
}

/// Whether a rule `METHOD /path-prefix` fits a call.
fn fits(rule: &str, method: &Method, path: &str) -> bool {
    let Some((wanted, prefix)) = rule.split_once(' ') else {
        return false;
    };
    (wanted == "*" || wanted == method.as_str()) && path.starts_with(prefix)
}

/// The headers that go on to the server: all but those of this connection and the caller's key.
pub(super) fn passed(headers: &HeaderMap) -> HeaderMap {
    const OWN: [HeaderName; 9] = [
        header::AUTHORIZATION,
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::EXPECT,
    ];
    let mut passed = headers.clone();
    for name in OWN {
        passed.remove(name);
    }
    passed
}

fn digest(call: &Call) -> u64 {
    let mut text = format!("{} {}\n", call.method, call.path).into_bytes();
    text.extend_from_slice(&call.body);
    twox_hash::XxHash64::oneshot(0, &text)
}

fn flag(object: &serde_json::Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(wrong_type(name, "true or false")),
    }
}

/// The most tokens that the answer may have.
fn limit(object: &serde_json::Map<String, Value>) -> Result<Tokens, Refusal> {
    let named = ["max_completion_tokens", "max_tokens"];
    let found = named
        .iter()
        .find_map(|name| object.get(*name).map(|value| (name, value)));
    match found {
        None | Some((_, Value::Null)) => Ok(DEFAULT_OUTPUT),
        Some((name, value)) => {
            let number = value.as_u64().filter(|number| *number > 0);
            number
                .map(Tokens)
                .ok_or_else(|| wrong_type(name, "a whole number above 0"))
        }
    }
}

/// The parts of the prompt, in order.
fn prompt(object: &serde_json::Map<String, Value>) -> Result<Vec<String>, Refusal> {
    if let Some(prompt) = object.get("prompt") {
        let text = prompt
            .as_str()
            .ok_or_else(|| wrong_type("prompt", "a string"))?;
        return Ok(vec![text.to_owned()]);
    }
    let messages = object.get("messages").ok_or_else(|| missing("messages"))?;
    let messages = messages
        .as_array()
        .ok_or_else(|| wrong_type("messages", "a list"))?;
    if messages.is_empty() {
        return Err(wrong_type("messages", "a list with one message or more"));
    }
    let mut texts = Vec::with_capacity(messages.len());
    for message in messages {
        if !message.is_object() {
            return Err(wrong_type("messages", "a list of objects"));
        }
        texts.push(message.to_string());
    }
    Ok(texts)
}

/// The beginnings of a prompt that a server may have cached, the longest first.
fn prefixes(owner: Option<&str>, texts: &[String]) -> Vec<Prefix> {
    let mut hash = twox_hash::XxHash64::oneshot(0, owner.unwrap_or_default().as_bytes());
    let mut length = 0;
    let mut all = Vec::with_capacity(texts.len());
    for text in texts {
        hash = twox_hash::XxHash64::oneshot(hash, text.as_bytes());
        length += text.len();
        let length = tokens(length);
        all.push(Prefix { hash, length });
    }
    all.reverse();
    all.truncate(PREFIXES);
    all
}

fn tokens(bytes: usize) -> Tokens {
    Tokens((bytes / BYTES_PER_TOKEN + 1) as u64)
}

fn missing(field: &str) -> Refusal {
    Refusal::new(
        Code::MissingField,
        format!("the body must have the field `{field}`"),
    )
}

fn wrong_type(field: &str, right: &str) -> Refusal {
    Refusal::new(Code::BadJson, format!("`{field}` must be {right}"))
}
