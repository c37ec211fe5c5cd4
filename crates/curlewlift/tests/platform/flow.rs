//! Streams in packets of any size, with silences at any place.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MAX_PACKET_BYTES: usize = 60;
const MAX_CHUNK_BYTES: usize = 50;
const SILENT_SHARE: f64 = 0.3;

/// Until when all servers are silent.
static SILENT_UNTIL: Mutex<Option<Instant>> = Mutex::new(None);

/// A stream that is sent on request: `flow SEED COUNT`, so many events; the seed decides how.
pub(crate) struct Flow {
    seed: u64,
    count: u32,
}

impl Flow {
    /// Makes the streams of all servers silent until then.
    pub(crate) fn silence_all(until: Instant) {
        *SILENT_UNTIL.lock().expect("the lock is not poisoned") = Some(until);
    }

    /// Parses the text after `flow `.
    pub(crate) fn parse(text: &str) -> Self {
        let (seed, count) = text.split_once(' ').expect("two numbers");
        Self {
            seed: seed.parse().expect("a seed"),
            count: count.parse().expect("a number of events"),
        }
    }

    /// Whether each run without a last event breaks off.
    pub(crate) fn breaks_off(&self) -> bool {
        self.seed.is_multiple_of(10)
    }

    /// The events after `last_event`.
    pub(crate) fn events(&self, last_event: u32) -> String {
        let numbers = last_event + 1..=self.count;
        let events = numbers.map(|number| format!("id: {number}\ndata: e{number}\n\n"));
        events.collect()
    }

    /// Sends the events after `last_event`, until the caller has left.
    pub(crate) fn send(&self, stream: &mut TcpStream, head: &str, last_event: Option<u32>) {
        let _ = stream.set_nodelay(true);
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut body = self.events(last_event.unwrap_or(0));
        let framing = match random.random_range(0..4) {
            0 => format!("Content-Length: {}", body.len()),
            // Without a length, an end is no break.
            1 if !self.breaks_off() => "Connection: close".to_owned(),
            _ => {
                let chunks = split(&body, MAX_CHUNK_BYTES, &mut random).into_iter();
                let chunks = chunks.map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
                body = chunks.collect::<String>() + "0\r\n\r\n";
                "Transfer-Encoding: chunked".to_owned()
            }
        };
        let response = format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n{body}");
        let mut packets = split(&response, MAX_PACKET_BYTES, &mut random);
        if self.breaks_off() && last_event.is_none() {
            packets.truncate(random.random_range(0..packets.len()));
        }
        let is_silent = random.random_bool(SILENT_SHARE);
        let silent_at = is_silent.then(|| random.random_range(0..=packets.len()));
        for (index, packet) in packets.iter().enumerate() {
            let is_silent = silent_at == Some(index);
            let time = random.random_range(if is_silent { 500..3_000 } else { 0..40 });
            let mut silent_until = Some(Instant::now() + Duration::from_millis(time));
            while let Some(left) =
                silent_until.and_then(|at| at.checked_duration_since(Instant::now()))
            {
                thread::sleep(left);
                silent_until = *SILENT_UNTIL.lock().expect("the lock is not poisoned");
            }
            if stream.write_all(packet.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Splits a text into parts of random lengths.
fn split<'a>(mut text: &'a str, max_length: usize, random: &mut SmallRng) -> Vec<&'a str> {
    let mut parts = Vec::new();
    while !text.is_empty() {
        let length = random.random_range(1..=max_length).min(text.len());
        let (part, rest) = text.split_at(length);
        parts.push(part);
        text = rest;
    }
    parts
}
