//! Distribution of prompt lengths over the length classes.

use fulmarhead_lib::{cost::LengthClass, ids::Tokens};
use strum::{Display, EnumString};

/// Selects the length classes that a run sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Mix {
    /// Prompts of all length classes.
    Mixed,
    /// Only the short prompts of [`Mix::Mixed`], at the same arrival times.
    ///
    /// Such a run is the baseline for the slowdown of short prompts in a mixed run.
    Short,
}

/// Fractions of the length classes; the remaining prompts are short.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MixSettings {
    /// Selection of the length classes to send.
    pub mix: Mix,
    /// Fraction of prompts over 8,000 and up to 100,000 tokens.
    pub medium_share: f64,
    /// Fraction of prompts over 100,000 tokens.
    pub long_share: f64,
}

impl MixSettings {
    /// Returns the length class for a random number from 0 to 1, weighted by the fractions.
    pub fn select_class(&self, draw: f64) -> LengthClass {
        if draw < self.long_share {
            LengthClass::Long
        } else if draw < self.long_share + self.medium_share {
            LengthClass::Medium
        } else {
            LengthClass::Short
        }
    }

    /// Returns whether the run sends prompts of `class`.
    pub fn includes(&self, class: LengthClass) -> bool {
        self.mix == Mix::Mixed || class == LengthClass::Short
    }

    /// Returns the mean prompt length over all classes in tokens, whichever classes are sent.
    pub fn mean_prompt(&self) -> f64 {
        let short = 1.0 - self.medium_share - self.long_share;
        short * mean_length(LengthClass::Short)
            + self.medium_share * mean_length(LengthClass::Medium)
            + self.long_share * mean_length(LengthClass::Long)
    }
}

/// Returns a prompt length of `class` for a random number from 0 to 1.
///
/// The lengths are distributed uniformly on a logarithmic scale.
pub(crate) fn prompt_length(class: LengthClass, draw: f64) -> Tokens {
    let (low, high) = length_bounds(class);
    let length = (low.ln() + draw * (high.ln() - low.ln())).exp();
    length.round().clamp(low, high) as Tokens
}

/// Returns the mean of the log-uniform lengths of `class`, in tokens.
fn mean_length(class: LengthClass) -> f64 {
    let (low, high) = length_bounds(class);
    (high - low) / (high.ln() - low.ln())
}

/// Returns the shortest and the longest prompt of `class`, in tokens.
fn length_bounds(class: LengthClass) -> (f64, f64) {
    match class {
        LengthClass::Short => (1_000.0, 8_000.0),
        LengthClass::Medium => (8_001.0, 100_000.0),
        LengthClass::Long => (100_001.0, 1_000_000.0),
    }
}
