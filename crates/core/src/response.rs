//! Tells a server that sends bytes without end from one that is silent.
//!
//! A faulty server may send bytes that complete nothing, in a head, in the framing of chunks or inside an event, as fast as the
//! link allows or slowly. Without a limit they would occupy the slot, the memory and the caller until the deadline. A sound
//! server may be silent at any of these places. So the limits apply to what it sends and to how long it goes on sending,
//! and they are checked only when something arrives: however long a silence is, it counts little and ends no response.

use std::error::Error;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::clock::Instant;

/// The size of the buffer for a response, and thereby of its head, in bytes.
pub const BUFFER_BYTES: usize = 64 << 10;

/// The statuses of final responses. HTTP parsers also accept three digits beyond, which mean nothing to a caller.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How many bytes may arrive without any of them being data of the body: a full buffer, and the framing of chunks.
const MAX_UNUSED_BYTES: usize = 2 * BUFFER_BYTES;

/// For how long a server may go on sending a head, the framing of a chunk or an event without completing it.
const MAX_SENDING_TIME: Duration = Duration::from_secs(2);

/// How much of the time before an arrival counts as sending. The rest is silence.
const MAX_COUNTED_GAP: Duration = Duration::from_millis(50);

/// The part of a response at which a server is, by what has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Part {
    /// Before the head.
    #[default]
    Start,
    /// Inside the head.
    Head,
    /// In the body, where nothing has begun that is not complete.
    Body,
    /// Inside the framing of chunks: a length, a line end or a trailer.
    Framing,
    /// Inside an event.
    Event,
}

impl Part {
    /// Returns the name for log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Head => "head",
            Self::Body => "body",
            Self::Framing => "framing",
            Self::Event => "event",
        }
    }
}

/// Where the data of a body that was read last ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataEnd {
    /// Where all that has begun is complete.
    Boundary,
    /// In an event that began in it, after the end of another one.
    NextEvent,
    /// In an event, and no other one ended in it.
    Event,
}

/// A time in which a server sent nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// How long it was.
    pub time: Duration,
    /// Where in the response it was.
    pub part: Part,
}

/// Why what a server sends is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Too many bytes arrived that are no part of a response.
    Bytes,
    /// It went on sending for too long without completing what it had begun.
    Time,
}

impl fmt::Display for Endless {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bytes => "the server sent too many bytes that are no part of a response",
            Self::Time => "the server went on sending without completing what it had begun",
        })
    }
}

impl Error for Endless {}

/// What has arrived of a response.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::response::DataEnd;
/// use curlewlift_core::response::Part;
/// use curlewlift_core::response::Reception;
/// let sent = Instant::default();
/// let mut reception = Reception::default();
/// let head = sent + Duration::from_millis(300);
/// reception.wait(sent);
/// assert!(reception.receive(200, head, head).is_ok());
/// reception.use_data(DataEnd::Boundary);
/// reception.wait(head);
/// let silence = reception.longest_silence(head + Duration::from_secs(2));
/// assert_eq!(silence.time, Duration::from_secs(2));
/// assert_eq!(silence.part, Part::Body);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Reception {
    part: Part,
    /// How many bytes have arrived since the last ones that were the head or data of the body.
    unused_bytes: usize,
    /// For how long the server has been sending what is not complete.
    sending_time: Duration,
    /// Since when the reader has waited for the server; none while it does not read.
    waiting_since: Option<Instant>,
    longest_silence: Silence,
}

impl Reception {
    /// Records that nothing has arrived when the connection was read at `now`.
    pub fn wait(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that `bytes` were read at `now`. They may have arrived at any time after `last_ran`, when this process was last
    /// seen to run.
    ///
    /// # Errors
    ///
    /// If they are no response.
    pub fn receive(
        &mut self,
        bytes: usize,
        now: Instant,
        last_ran: Instant,
    ) -> Result<(), Endless> {
        self.longest_silence = self.longest_silence(last_ran);
        let waiting_since = self.waiting_since.take();
        let gap = waiting_since.map_or(Duration::ZERO, |since| now.since(since));
        self.unused_bytes = self.unused_bytes.saturating_add(bytes);
        match self.part {
            Part::Start => self.part = Part::Head,
            Part::Body => self.part = Part::Framing,
            Part::Head | Part::Framing | Part::Event => {
                self.sending_time += gap.min(MAX_COUNTED_GAP);
            }
        }
        if self.unused_bytes > MAX_UNUSED_BYTES {
            return Err(Endless::Bytes);
        }
        if self.sending_time > MAX_SENDING_TIME {
            return Err(Endless::Time);
        }
        Ok(())
    }

    /// Records that the head has been read from the bytes, at its end, or data of the body.
    pub fn use_data(&mut self, end: DataEnd) {
        self.unused_bytes = 0;
        match end {
            DataEnd::Boundary => self.enter(Part::Body),
            DataEnd::NextEvent => self.enter(Part::Event),
            DataEnd::Event => self.part = Part::Event,
        }
    }

    /// Records that an interim response has been read: the head of the final one follows, and may take long.
    pub fn use_interim(&mut self) {
        self.enter(Part::Start);
    }

    /// Records that all that was sent before `part` is complete.
    fn enter(&mut self, part: Part) {
        self.part = part;
        self.sending_time = Duration::ZERO;
    }

    /// Returns the longest silence until `now`.
    #[must_use]
    pub fn longest_silence(&self, now: Instant) -> Silence {
        let time = self.present_silence(now);
        if time > self.longest_silence.time {
            let part = self.part;
            return Silence { time, part };
        }
        self.longest_silence
    }

    /// Returns for how long the server has sent nothing at `now`; zero while the reader does not wait for it.
    #[must_use]
    pub fn present_silence(&self, now: Instant) -> Duration {
        self.waiting_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}
