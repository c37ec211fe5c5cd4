//! Parses the requests of callers.

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
use super::request::ResponseMode;

/// The header with the request key.
pub(super) const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The header with the time within which the response must be complete, in milliseconds.
pub(super) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("curlewlift-deadline-ms");

/// Maximum length of a request key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// The deadline of a request without the header.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(2);

/// Maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The output limit of a request that sets none.
const DEFAULT_OUTPUT_LIMIT: Tokens = Tokens(1_024);

/// Approximate number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum number of prompt prefixes that the owner gets.
const MAX_PREFIXES: usize = 4;

/// The customer that sends a request, and its settings.
pub(super) struct Sender {
    pub(super) customer: id::Customer,
    pub(super) rights: Arc<config::Customer>,
}

/// The value of a header that may be given only once.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Refusal> {
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

/// The request key in the headers, or else a generated one, and whether the headers have one.
fn request_key(node: &Node, headers: &HeaderMap) -> Result<(String, bool), Refusal> {
    let Some(text) = single_header(headers, &KEY_HEADER)? else {
        return Ok((issue::generate(&node.member), false));
    };
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        let detail = format!("`{KEY_HEADER}` must have 1 to {MAX_KEY_BYTES} characters");
        return Err(Refusal::new(Code::BadHeader, detail));
    }
    Ok((text.to_owned(), true))
}

/// The view in the stamp of a key: it begins with `vNUMBER.`, as the address response gives it.
pub(super) fn view_stamp(key: &str) -> Option<id::View> {
    let (number, _) = key.strip_prefix('v')?.split_once('.')?;
    number.parse().ok()
}

fn time_to_deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(text) = single_header(headers, &DEADLINE_HEADER)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let millis: i64 = text.parse().map_err(|_| {
        Refusal::new(
            Code::BadHeader,
            format!("`{DEADLINE_HEADER}: {text}` is no number of milliseconds"),
        )
    })?;
    let time_left = u64::try_from(millis).ok().filter(|millis| *millis > 0);
    let detail = "the deadline had passed when the request arrived";
    let time_left = time_left.ok_or_else(|| Refusal::new(Code::PastDeadline, detail))?;
    Ok(Duration::from_millis(time_left.min(MAX_DEADLINE_MS)))
}

/// Parses a chat or text completion.
pub(super) fn parse_completion(
    node: &Node,
    sender: Sender,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Request, Refusal> {
    let json: Value = serde_json::from_slice(&body)
        .map_err(|error| Refusal::new(Code::BadJson, format!("the body is not JSON: {error}")))?;
    let Some(object) = json.as_object() else {
        return Err(Refusal::new(
            Code::BadJson,
            "the body must be a JSON object",
        ));
    };
    let model = object.get("model").ok_or_else(|| missing_field("model"))?;
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
    let (service, _) = snapshot.service_by_model(model).ok_or_else(unknown)?;
    let stream = bool_field(object, "stream")?;
    let output = output_limit(object)?;
    let texts = prompt_texts(object)?;
    let characters: usize = texts.iter().map(String::len).sum();
    let call = Call {
        method: Method::POST,
        path: path.to_owned(),
        headers: forwarded_headers(headers),
        body,
    };
    let mut request = request(node, sender, service.clone(), headers, call)?;
    request.mode = if stream {
        ResponseMode::Stream
    } else {
        ResponseMode::Whole
    };
    request.prompt = estimate_tokens(characters);
    request.output = output;
    let scope = (!request.rights.shared_prefixes).then_some(request.customer.as_str());
    request.prefixes = prompt_prefixes(scope, &texts);
    Ok(request)
}

/// Parses a call of a service that serves no model.
pub(super) fn parse_plain_call(
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
    let config = snapshot.services.get(&service).ok_or_else(unknown)?;
    let sole = config
        .sole
        .iter()
        .any(|rule| rule_matches(rule, &call.method, &call.path));
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
    let (key_text, keyed) = request_key(node, headers)?;
    let time_left = time_to_deadline(headers)?;
    Ok(Request {
        key: id::Key::new(&sender.customer, &key_text),
        stamp: view_stamp(&key_text),
        key_text,
        keyed,
        customer: sender.customer,
        rights: sender.rights,
        service,
        sole: false,
        mode: ResponseMode::Whole,
        digest: digest(&call),
        prompt: estimate_tokens(call.body.len()),
        call,
        output: Tokens(1),
        prefixes: Vec::new(),
        deadline: node.now() + time_left,
        ticket: node.next_ticket(),
    })
}

/// Whether a rule `METHOD /path-prefix` matches a call.
fn rule_matches(rule: &str, method: &Method, path: &str) -> bool {
    let Some((rule_method, prefix)) = rule.split_once(' ') else {
        return false;
    };
    (rule_method == "*" || rule_method == method.as_str()) && path.starts_with(prefix)
}

/// The headers that are forwarded to the server: all but those of this connection and the API key.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const NOT_FORWARDED: [HeaderName; 9] = [
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
    let mut forwarded = headers.clone();
    for name in NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}

fn digest(call: &Call) -> u64 {
    let mut text = format!("{} {}\n", call.method, call.path).into_bytes();
    text.extend_from_slice(&call.body);
    twox_hash::XxHash64::oneshot(0, &text)
}

fn bool_field(object: &serde_json::Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(wrong_type(name, "true or false")),
    }
}

/// The maximum number of tokens of the response.
fn output_limit(object: &serde_json::Map<String, Value>) -> Result<Tokens, Refusal> {
    let field_names = ["max_completion_tokens", "max_tokens"];
    let field = field_names
        .iter()
        .find_map(|name| object.get(*name).map(|value| (name, value)));
    match field {
        None | Some((_, Value::Null)) => Ok(DEFAULT_OUTPUT_LIMIT),
        Some((name, value)) => {
            let number = value.as_u64().filter(|number| *number > 0);
            number
                .map(Tokens)
                .ok_or_else(|| wrong_type(name, "a whole number above 0"))
        }
    }
}

/// The texts of the prompt, in order.
fn prompt_texts(object: &serde_json::Map<String, Value>) -> Result<Vec<String>, Refusal> {
    if let Some(prompt) = object.get("prompt") {
        let text = prompt
            .as_str()
            .ok_or_else(|| wrong_type("prompt", "a string"))?;
        return Ok(vec![text.to_owned()]);
    }
    let messages = object
        .get("messages")
        .ok_or_else(|| missing_field("messages"))?;
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

/// The prefixes of a prompt that a server may have cached, longest first. With a `scope`, only
/// requests of that customer share them.
fn prompt_prefixes(scope: Option<&str>, texts: &[String]) -> Vec<Prefix> {
    let mut hash = twox_hash::XxHash64::oneshot(0, scope.unwrap_or_default().as_bytes());
    let mut length = 0;
    let mut all = Vec::with_capacity(texts.len());
    for text in texts {
        hash = twox_hash::XxHash64::oneshot(hash, text.as_bytes());
        length += text.len();
        let length = estimate_tokens(length);
        all.push(Prefix { hash, length });
    }
    all.reverse();
    all.truncate(MAX_PREFIXES);
    all
}

fn estimate_tokens(bytes: usize) -> Tokens {
    Tokens((bytes / BYTES_PER_TOKEN + 1) as u64)
}

fn missing_field(field: &str) -> Refusal {
    Refusal::new(
        Code::MissingField,
        format!("the body must have the field `{field}`"),
    )
}

fn wrong_type(field: &str, expected: &str) -> Refusal {
    Refusal::new(Code::BadJson, format!("`{field}` must be {expected}"))
}
