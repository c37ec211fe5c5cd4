//! Golden files of whole sessions, in `tests/golden`.
//!
//! `GOLDEN=write cargo test -p curlewlift --test golden_sessions` writes them anew; read the
//! difference before it is committed.

use std::fmt::Write;
use std::path::Path;

use curlewlift_lab::client::Reply;

/// Headers of an answer that a session shows.
const SHOWN: [&str; 5] = [
    "content-type",
    "curlewlift-code",
    "curlewlift-outcome",
    "curlewlift-key",
    "retry-after",
];

/// What was said in one session.
#[derive(Default)]
pub(crate) struct Session {
    text: String,
    names: Vec<(String, String)>,
}

impl Session {
    /// Shows `name` wherever `value` would stand.
    pub(crate) fn name(&mut self, value: &impl ToString, name: &str) {
        self.names.push((value.to_string(), name.to_owned()));
    }

    /// Something that was done.
    pub(crate) fn did(&mut self, what: &str) {
        let _ = writeln!(self.text, "> {what}");
    }

    /// An answer over HTTP.
    pub(crate) fn got(&mut self, reply: &Reply) {
        let _ = writeln!(self.text, "< {}", reply.status);
        for name in SHOWN {
            if !reply.header(name).is_empty() {
                let _ = writeln!(self.text, "< {name}: {}", reply.header(name));
            }
        }
        self.said(&reply.body);
    }

    /// Lines that came back.
    pub(crate) fn said(&mut self, text: &str) {
        for line in text.trim_end().lines() {
            let _ = writeln!(self.text, "  {line}");
        }
    }

    /// Holds the session against its file.
    pub(crate) fn check(self, name: &str) {
        let mut text = self.text;
        for (value, shown) in &self.names {
            text = text.replace(value, shown);
        }
        let text: Vec<_> = text.lines().map(str::trim_end).collect();
        let text = text.join("\n") + "\n";
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
        let path = folder.join(format!("{name}.txt"));
        if std::env::var("GOLDEN").is_ok_and(|value| value == "write") {
            std::fs::create_dir_all(&folder).expect("a folder");
            std::fs::write(&path, &text).expect("written");
        }
        let kept = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(
            text, kept,
            "{name}: the session is not as its golden file has it"
        );
    }
}
