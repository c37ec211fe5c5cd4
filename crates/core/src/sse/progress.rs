//! Remembers the last event of a stream, to resume it after that.

use super::BYTE_ORDER_MARK;

/// Where a stream is to be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumePoint {
    /// At its beginning, as no event has arrived.
    Start,
    /// After the event with this id.
    After(String),
}

impl ResumePoint {
    /// Returns the id of the last event; none at the beginning.
    #[must_use]
    pub fn event_id(&self) -> Option<&str> {
        match self {
            Self::Start => None,
            Self::After(id) => Some(id),
        }
    }
}

/// Which events of a stream have arrived.
///
/// ```
/// use curlewlift_core::sse::Progress;
/// use curlewlift_core::sse::ResumePoint;
///
/// let mut progress = Progress::default();
/// assert!(progress.record(b"id: 1\ndata: a\n\n"));
/// assert!(!progress.record(b"id: 1\ndata: a\n\n"), "a repetition");
/// assert_eq!(progress.resume_point(), Some(ResumePoint::After("1".to_owned())));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Progress {
    last_id: Option<String>,
    /// The highest id, if the ids are numbers.
    highest_id: Option<u64>,
    /// Whether data without an id has arrived since the last id.
    has_unidentified: bool,
    /// Whether the last event was new.
    is_last_new: bool,
    /// Whether any byte has arrived.
    has_begun: bool,
}

impl Progress {
    /// Records a complete event, comment or blank line; false if it is a repetition, or belongs to one.
    pub fn record(&mut self, event: &[u8]) -> bool {
        // The second byte of the line end of the last event.
        if event == b"\n" {
            return self.is_last_new;
        }
        // A byte order mark has no meaning but at the beginning; a resumed stream may begin with another one.
        let is_late_mark = event == BYTE_ORDER_MARK && self.has_begun;
        self.has_begun = true;
        self.is_last_new = !is_late_mark && self.record_event(event);
        self.is_last_new
    }

    fn record_event(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            self.has_unidentified |= super::data(event).is_some();
            return true;
        };
        let number: Option<u64> = id.parse().ok();
        if let (Some(number), Some(highest_id)) = (number, self.highest_id)
            && number <= highest_id
        {
            return false;
        }
        self.highest_id = number.or(self.highest_id);
        self.last_id = Some(id);
        self.has_unidentified = false;
        true
    }

    /// Returns whether an event has arrived, besides comments.
    #[must_use]
    pub fn has_event(&self) -> bool {
        self.last_id.is_some() || self.has_unidentified
    }

    /// Returns where the stream can be resumed; none if it would repeat events that have no id.
    #[must_use]
    pub fn resume_point(&self) -> Option<ResumePoint> {
        if self.has_unidentified {
            return None;
        }
        let last_id = self.last_id.clone();
        Some(last_id.map_or(ResumePoint::Start, ResumePoint::After))
    }
}

/// The id of an event.
fn event_id(event: &[u8]) -> Option<String> {
    let ids = super::lines(event).filter_map(|line| super::field(line, "id"));
    let id = std::str::from_utf8(ids.last()?).ok()?;
    Some(id.trim().to_owned())
}
