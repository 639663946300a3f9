//! Mixes of prompt lengths.

use fulmarhead_lib::{cost::LengthClass, ids::Tokens};
use strum::{Display, EnumString};

/// A named mix of prompt lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Mix {
    /// Short, medium and long prompts.
    Mixed,
    /// The short prompts of the mixed arrivals at their times, without all others.
    ///
    /// It is the ideal that the slowdown of short prompts is measured against.
    Short,
}

/// Shares of the length classes; what is left are short prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MixSettings {
    /// Which classes are sent.
    pub mix: Mix,
    /// Share of prompts over 8,000 and up to 100,000 tokens.
    pub medium: f64,
    /// Share of prompts over 100,000 tokens.
    pub long: f64,
}

impl MixSettings {
    /// Returns the class for a random number from 0 to 1.
    pub fn class(&self, draw: f64) -> LengthClass {
        if draw < self.long {
            LengthClass::Long
        } else if draw < self.long + self.medium {
            LengthClass::Medium
        } else {
            LengthClass::Short
        }
    }

    /// Returns whether prompts of `class` are sent.
    pub fn sends(&self, class: LengthClass) -> bool {
        self.mix == Mix::Mixed || class == LengthClass::Short
    }

    /// Returns the mean length of a prompt of the mix with all classes, in tokens.
    pub fn mean(&self) -> f64 {
        let short = 1.0 - self.medium - self.long;
        short * mean(LengthClass::Short)
            + self.medium * mean(LengthClass::Medium)
            + self.long * mean(LengthClass::Long)
    }
}

/// Returns a length of `class` for a random number from 0 to 1, uniform in its logarithm.
pub(crate) fn length(class: LengthClass, draw: f64) -> Tokens {
    let (low, high) = bounds(class);
    let length = (low.ln() + draw * (high.ln() - low.ln())).exp();
    length.round().clamp(low, high) as Tokens
}

fn mean(class: LengthClass) -> f64 {
    let (low, high) = bounds(class);
    (high - low) / (high.ln() - low.ln())
}

fn bounds(class: LengthClass) -> (f64, f64) {
    match class {
        LengthClass::Short => (1_000.0, 8_000.0),
        LengthClass::Medium => (8_001.0, 100_000.0),
        LengthClass::Long => (100_001.0, 1_000_000.0),
    }
}
