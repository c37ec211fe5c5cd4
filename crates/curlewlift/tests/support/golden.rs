//! Compares whole sessions with golden files in `tests/golden`.
//!
//! `GOLDEN=write cargo test -p curlewlift --test golden_sessions` rewrites the files; review the difference before
//! committing it.

use std::fmt::Write;
use std::path::Path;

use curlewlift_lab::client::Reply;

/// Response headers that a session shows.
const SHOWN_HEADERS: [&str; 5] = [
    "content-type",
    "curlewlift-code",
    "curlewlift-outcome",
    "curlewlift-key",
    "retry-after",
];

/// The transcript of one session.
#[derive(Default)]
pub(crate) struct Session {
    text: String,
    replacements: Vec<(String, String)>,
}

impl Session {
    /// Shows `placeholder` instead of `value` in the transcript.
    pub(crate) fn replace(&mut self, value: &impl ToString, placeholder: &str) {
        self.replacements
            .push((value.to_string(), placeholder.to_owned()));
    }

    /// Records an action.
    pub(crate) fn record_action(&mut self, what: &str) {
        let _ = writeln!(self.text, "> {what}");
    }

    /// Records an HTTP response.
    pub(crate) fn record_response(&mut self, reply: &Reply) {
        let _ = writeln!(self.text, "< {}", reply.status);
        for name in SHOWN_HEADERS {
            if !reply.header(name).is_empty() {
                let _ = writeln!(self.text, "< {name}: {}", reply.header(name));
            }
        }
        self.record_lines(&reply.body);
    }

    /// Records lines of output.
    pub(crate) fn record_lines(&mut self, text: &str) {
        for line in text.trim_end().lines() {
            let _ = writeln!(self.text, "  {line}");
        }
    }

    /// Compares the session with its golden file.
    pub(crate) fn check(self, name: &str) {
        let mut text = self.text;
        for (value, placeholder) in &self.replacements {
            text = text.replace(value, placeholder);
        }
        let text: Vec<_> = text.lines().map(str::trim_end).collect();
        let text = text.join("\n") + "\n";
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
        let path = folder.join(format!("{name}.txt"));
        if std::env::var("GOLDEN").is_ok_and(|value| value == "write") {
            std::fs::create_dir_all(&folder).expect("the folder is created");
            std::fs::write(&path, &text).expect("the golden file is written");
        }
        let expected = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(
            text, expected,
            "{name}: the session differs from its golden file"
        );
    }
}
