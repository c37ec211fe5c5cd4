//! Streams of events that end, or break off, in a given way.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;

/// The number of events of a whole stream.
pub(crate) const EVENT_COUNT: u32 = 3;

/// The length of an event that is too long.
const LONG_EVENT: usize = 3 << 20;

/// How long a stream that `lingers` is silent before its last part.
pub(crate) const LINGER_TIME: Duration = Duration::from_millis(1_500);

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By the end of the connection.
    Close,
    Chunks,
    Length,
}

/// Words that say where a stream breaks off, and what has been sent of the event by then: a field's name and how many bytes
/// of it, or how many bytes before the blank line are missing.
enum Cut {
    At(&'static str, usize),
    BeforeEnd(usize),
}

const CUTS: [(&str, Cut); 5] = [
    ("in-first-byte", Cut::At("", 1)),
    ("in-id", Cut::At("id:", 2)),
    ("in-data", Cut::At("data:", 6)),
    ("in-line-end", Cut::BeforeEnd(1)),
    ("before-blank-line", Cut::BeforeEnd(0)),
];

/// A stream of three events, sent on request: `ends WORDS`.
///
/// The words say how the end is marked (`close`, `chunks`, `length`), where the stream breaks off ([`CUTS`], or
/// `in-long-event`; it is whole without), at its `first` event or else at the second, and change the bytes of the events
/// and when they are sent.
#[derive(Clone, Debug)]
pub(crate) struct StreamEnd {
    words: Vec<String>,
    /// The engine's version, which the events of a `versioned` stream state.
    version: &'static str,
}

impl StreamEnd {
    /// Parses the text after `ends `.
    pub(crate) fn parse(text: &str) -> Self {
        Self {
            words: text.split(' ').map(ToOwned::to_owned).collect(),
            version: "",
        }
    }

    /// Sets the version of the engine that sends it.
    pub(crate) fn of_version(self, version: &'static str) -> Self {
        Self { version, ..self }
    }

    fn has(&self, word: &str) -> bool {
        self.words.iter().any(|known| known == word)
    }

    /// The first of `texts` whose word the stream has, or else `default`.
    fn choose<'a>(&self, texts: &[(&str, &'a str)], default: &'a str) -> &'a str {
        let chosen = texts.iter().find(|(word, _)| self.has(word));
        chosen.map_or(default, |(_, text)| text)
    }

    fn framing(&self) -> Framing {
        if self.has("chunks") {
            Framing::Chunks
        } else if self.has("length") {
            Framing::Length
        } else {
            Framing::Close
        }
    }

    /// The end of each line.
    fn line_end(&self) -> &'static str {
        self.choose(&[("crlf", "\r\n"), ("cr", "\r")], "\n")
    }

    /// An event without its blank line.
    fn event(&self, number: u32) -> String {
        let mut lines = Vec::new();
        if self.has("comments") {
            lines.push(": ping".to_owned());
        }
        if !self.has("no-ids") {
            lines.push(format!("id: {number}"));
        }
        lines.push(if self.has("versioned") {
            format!("data: e{number} {}", self.version)
        } else {
            format!("data: e{number}")
        });
        let line_end = self.line_end();
        lines.join(line_end) + line_end
    }

    /// The event that is incomplete, if the stream breaks off.
    fn cut_event(&self) -> u32 {
        if self.has("first") { 1 } else { 2 }
    }

    /// What is sent of the event at which the stream breaks off; none if it doesn't.
    fn partial(&self) -> Option<String> {
        let event = self.event(self.cut_event());
        if self.has("in-long-event") {
            return Some(event + &"x".repeat(LONG_EVENT));
        }
        let (_, cut) = CUTS.iter().find(|(word, _)| self.has(word))?;
        let end = match cut {
            Cut::At(field, count) => event.find(field)? + count,
            Cut::BeforeEnd(count) => event.len() - count,
        };
        Some(event[..end].to_owned())
    }

    /// The parts of the stream after the event `last_event`; the parts are sent one by one.
    fn parts(&self, last_event: Option<u32>, is_cut: bool) -> Vec<String> {
        let mut parts = Vec::new();
        if self.has("mark") && last_event.is_none() {
            parts.push("\u{feff}".to_owned());
        }
        let partial = self.partial().filter(|_| is_cut);
        for number in last_event.unwrap_or(0) + 1..=EVENT_COUNT {
            let (event, line_end) = (self.event(number), self.line_end());
            match &partial {
                Some(partial) if number >= self.cut_event() => {
                    parts.push(partial.clone());
                    return parts;
                }
                _ if self.has("bytewise") => {
                    let whole = format!("{event}{line_end}");
                    parts.extend(whole.chars().map(String::from));
                }
                _ if self.has("halves") => {
                    let (first, second) = event.split_at(event.len() / 2);
                    parts.extend([first.to_owned(), format!("{second}{line_end}")]);
                }
                _ => parts.push(format!("{event}{line_end}")),
            }
        }
        if self.has("last-comment") {
            parts.push(": bye\n".to_owned());
        }
        parts
    }

    /// What a caller is to receive of the events before the stream breaks off, and after that if it is resumed.
    pub(crate) fn expected(&self, is_resumed: bool) -> String {
        let mut parts = self.parts(None, true);
        if self.partial().is_some() {
            parts.pop();
            if is_resumed {
                parts.extend(self.parts(Some(self.cut_event() - 1), false));
            }
        }
        parts.concat()
    }

    /// Sends the response to the request `id`, whose head begins with `head`. A request that comes again gets all of the
    /// rest, unless the stream breaks off `twice`.
    pub(crate) fn send(
        &self,
        stream: &mut TcpStream,
        id: &str,
        head: &str,
        last_event: Option<u32>,
    ) {
        static SEEN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());
        let mut seen = SEEN.lock().expect("the lock is not poisoned");
        let is_first = seen.insert(id.to_owned());
        drop(seen);
        let parts = self.parts(last_event, is_first || self.has("twice"));
        let length: usize = parts.iter().map(String::len).sum();
        let framing = match self.framing() {
            Framing::Close => String::new(),
            Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Length => format!("Content-Length: {length}\r\n"),
        };
        let kind = "Content-Type: text/event-stream; charset=utf-8\r\n";
        let _ = write!(stream, "{head}{kind}{framing}\r\n");
        let count = parts.len();
        for (index, part) in parts.iter().enumerate() {
            let _ = match self.framing() {
                Framing::Chunks => write!(stream, "{:x}\r\n{part}\r\n", part.len()),
                Framing::Close | Framing::Length => stream.write_all(part.as_bytes()),
            };
            if self.has("bytewise") {
                std::thread::sleep(Duration::from_millis(2));
            }
            let is_last_next = index + 2 == count;
            if self.has("lingers") && is_last_next {
                std::thread::sleep(LINGER_TIME);
            }
        }
        if self.framing() == Framing::Chunks {
            let _ = write!(stream, "0\r\n\r\n");
        }
    }
}
