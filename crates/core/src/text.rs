//! Text conversions of newtypes.

/// Implements `Display` and `FromStr` for a newtype of a number, as that number.
macro_rules! number_text {
    ($name:ident) => {
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, std::num::ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

pub(crate) use number_text;
