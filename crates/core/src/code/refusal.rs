//! The error type of the project: a result code with an explanation.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Code;

/// The reason why something was not done: a result code, and what is wrong and expected instead.
///
/// # Examples
///
/// ```
/// use curlewlift_core::code::Code;
/// use curlewlift_core::code::Refusal;
/// let refusal = Refusal::new(Code::UnknownModel, "no service has the model `x`");
/// assert_eq!(refusal.to_string(), "1005 unknown-model: no service has the model `x`");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    code: Code,
    detail: String,
}

impl Refusal {
    /// A refusal with `code`, explained by `detail`.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }

    /// The numbered code.
    #[must_use]
    pub fn get_code(&self) -> Code {
        self.code
    }

    /// What is wrong and what is expected instead, for people to read.
    #[must_use]
    pub fn get_detail(&self) -> &str {
        &self.detail
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {}: {}",
            self.code.number(),
            self.code.name(),
            self.detail
        )
    }
}

impl std::error::Error for Refusal {}
