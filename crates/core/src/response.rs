//! Follows what arrives of a server's response, and how long nothing does.

use std::time::Duration;

use crate::clock::Instant;

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

/// A time in which a server sent nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// How long it was.
    pub time: Duration,
    /// Where in the response it was.
    pub part: Part,
}

/// What has arrived of a response.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::response::Part;
/// use curlewlift_core::response::Reception;
/// let sent = Instant::default();
/// let mut reception = Reception::new(sent);
/// let head = sent + Duration::from_millis(300);
/// reception.receive(head, head);
/// reception.use_data(true);
/// let silence = reception.longest_silence(head + Duration::from_secs(2));
/// assert_eq!(silence.time, Duration::from_secs(2));
/// assert_eq!(silence.part, Part::Body);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Reception {
    part: Part,
    last_arrival: Instant,
    longest_silence: Silence,
}

impl Reception {
    /// Creates the state of a connection that was opened at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            part: Part::Start,
            last_arrival: now,
            longest_silence: Silence::default(),
        }
    }

    /// Records that bytes were read at `now`. They may have arrived at any time after `last_ran`, when this process was last
    /// seen to run.
    pub fn receive(&mut self, now: Instant, last_ran: Instant) {
        self.longest_silence = self.longest_silence(last_ran);
        self.last_arrival = now;
        self.part = match self.part {
            Part::Start => Part::Head,
            Part::Body => Part::Framing,
            Part::Head | Part::Framing | Part::Event => self.part,
        };
    }

    /// Records that the head, or data of the body, has been read from the bytes, and whether all that has begun is complete.
    pub fn use_data(&mut self, is_complete: bool) {
        self.part = if is_complete { Part::Body } else { Part::Event };
    }

    /// Records that an interim response has been read: the head of the final one follows, and may take long.
    pub fn use_interim(&mut self) {
        self.part = Part::Start;
    }

    /// Returns the longest silence until `now`.
    #[must_use]
    pub fn longest_silence(&self, now: Instant) -> Silence {
        let time = now.since(self.last_arrival);
        if time > self.longest_silence.time {
            let part = self.part;
            return Silence { time, part };
        }
        self.longest_silence
    }
}
