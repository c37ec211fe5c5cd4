//! Streams of a sound server that is silent at any place.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// The events of the streams.
pub(crate) const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// How the body is sent: its head fields, and its bytes.
pub(crate) const BODIES: [(&str, &str); 4] = [
    ("Content-Length: 30", EVENTS),
    ("Connection: close", EVENTS),
    (
        "Transfer-Encoding: chunked",
        "f\r\nid: 1\ndata: a\n\n\r\nf;x=1\r\nid: 2\ndata: b\n\n\r\n0\r\nx: y\r\n\r\n",
    ),
    (
        "Transfer-Encoding: chunked",
        "9\r\nid: 1\ndat\r\n15\r\na: a\n\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
    ),
];

/// The time between two packets.
const PACKET_INTERVAL: Duration = Duration::from_millis(10);

/// The number of events of a stream whose packets end inside events, and the time between two of these packets.
pub(crate) const STRADDLING_EVENTS: usize = 60;
const STRADDLING_INTERVAL: Duration = Duration::from_millis(60);

/// A stream that is sent on request: `silent BODY OFFSET MILLIS`, where the server sends nothing for that time before the byte
/// at the offset, which begins a packet of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silent {
    body: usize,
    offset: usize,
    time: Duration,
}

impl Silent {
    /// Parses the text after `silent `.
    pub(crate) fn parse(text: &str) -> Self {
        let mut numbers = text
            .split(' ')
            .map(|number| number.parse().expect("a number"));
        let mut next = || numbers.next().expect("three numbers");
        Self {
            body: next(),
            offset: next(),
            time: Duration::from_millis(next() as u64),
        }
    }

    /// Returns the response with the head `head`, an interim response before it.
    pub(crate) fn response(head: &str, body: usize) -> String {
        let (fields, body) = BODIES[body];
        format!(
            "HTTP/1.1 103 Early Hints\r\n\r\n{head}Content-Type: text/event-stream\r\n{fields}\r\n\r\n{body}"
        )
    }

    pub(crate) fn send(self, stream: &mut TcpStream, head: &str) {
        let response = Self::response(head, self.body);
        let (before, after) = response.split_at(self.offset);
        // The last bytes before the silence have a packet of their own, as the line end of a chunk may have.
        let (early, last) = before.split_at(before.len().saturating_sub(2));
        for packet in [early, last] {
            let _ = stream.write_all(packet.as_bytes());
            thread::sleep(PACKET_INTERVAL);
        }
        thread::sleep(self.time);
        let _ = stream.write_all(after.as_bytes());
    }
}

/// Sends a stream in chunks, whose packets each have the end of an event and the beginning of the next one: in two chunks,
/// or in a single one.
pub(crate) fn send_straddling(stream: &mut TcpStream, head: &str, is_single: bool) {
    let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    let _ = write!(stream, "{head}{fields}\r\n\r\n3\r\ndat\r\n");
    for number in 1..=STRADDLING_EVENTS {
        thread::sleep(STRADDLING_INTERVAL);
        let packet = match number {
            STRADDLING_EVENTS => "6\r\na: 1\n\n\r\n0\r\n\r\n",
            _ if is_single => "9\r\na: 1\n\ndat\r\n",
            _ => "6\r\na: 1\n\n\r\n3\r\ndat\r\n",
        };
        let _ = stream.write_all(packet.as_bytes());
    }
}
