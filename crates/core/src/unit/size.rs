//! Amounts of memory and work, and rates.

use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;

use serde::Deserialize;
use serde::Serialize;

macro_rules! sizes {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => { $(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Subtracts `other`; the result is at least zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }

            /// The amount as a floating point number, for averages and ratios.
            #[must_use]
            #[allow(clippy::cast_precision_loss)]
            pub const fn as_f64(self) -> f64 {
                self.0 as f64
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self(0), Add::add)
            }
        }

        crate::text::number_text!($name);
    )* };
}

sizes! {
    /// A number of bytes.
    Bytes,
    /// A number of things a second.
    Rate,
    /// A number of tokens of a prompt or response.
    Tokens,
}
