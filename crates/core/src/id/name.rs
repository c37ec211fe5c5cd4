//! Names that operators choose.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// The error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidName(String);

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a name: use 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, `-`, `_`, `.`, the first a letter or digit",
            self.0
        )
    }
}

impl std::error::Error for InvalidName {}

/// Whether `text` is a valid name.
fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    let first = text.bytes().next();
    first.is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit())
        && text.len() <= MAX_NAME_BYTES
        && text.bytes().all(allowed)
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => { $(
        $(#[$doc])*
        ///
        /// Cloning is cheap: the text is shared.
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("let name: curlewlift_core::id::", stringify!($name), " = \"a-1\".parse()?;")]
        /// assert_eq!(name.to_string(), "a-1");
        #[doc = concat!("assert!(\"A 1\".parse::<curlewlift_core::id::", stringify!($name), ">().is_err());")]
        /// # Ok::<(), curlewlift_core::id::InvalidName>(())
        /// ```
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(InvalidName(text.to_owned()))
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, InvalidName> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    )* };
}

names! {
    /// A customer: a party that sends requests.
    Customer,
    /// A data hall: a part of a site that can fail as a whole.
    Hall,
    /// A host that runs one of curlewlift's processes.
    Host,
    /// A model that engines serve.
    Model,
    /// An operator: a person or program that sends commands.
    Operator,
    /// A backend server: an engine or a plain server.
    Server,
    /// A service that callers use, provided by one or more backend servers.
    Service,
    /// A tier of requests.
    Tier,
}
