//! Seeded arrivals of a Poisson process.

use crate::{
    mix::{MixSettings, length},
    team::TeamShare,
};
use fulmarhead_lib::{cost::LengthClass, ids::Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, ExpError};
use std::time::Duration;

/// One arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Number of the arrival, counted from 0 over all classes, sent or not.
    pub number: u64,
    /// Time since the start.
    pub at: Duration,
    /// Index of the team.
    pub team: usize,
    /// What is asked for.
    pub work: Work,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A completion.
    Prompt {
        /// Class of the prompt.
        class: LengthClass,
        /// Length of the prompt.
        prompt: Tokens,
        /// Tokens to generate.
        output: Tokens,
    },
    /// A call to the application under a key.
    Call,
}

/// The arrivals of one seed.
#[derive(Clone, Debug)]
pub struct Arrivals {
    random: ChaCha8Rng,
    gaps: Exp<f64>,
    mix: MixSettings,
    shares: Vec<f64>,
    calls: f64,
    output: (Tokens, Tokens),
    at: f64,
    number: u64,
}

impl Arrivals {
    /// Returns the arrivals of `seed` at `rate` per second; a share of `calls` are calls to the
    /// application and answers have between `output.0` and `output.1` tokens.
    pub fn new(
        seed: u64,
        rate: f64,
        mix: MixSettings,
        teams: &[TeamShare],
        calls: f64,
        output: (Tokens, Tokens),
    ) -> Result<Self, ExpError> {
        Ok(Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            gaps: Exp::new(rate)?,
            mix,
            shares: teams.iter().map(|team| team.share).collect(),
            calls,
            output,
            at: 0.0,
            number: 0,
        })
    }

    /// Draws one arrival. The same numbers are drawn whatever the settings, so that the arrivals
    /// of one seed stay comparable between mixes.
    fn draw(&mut self) -> Arrival {
        self.at += self.gaps.sample(&mut self.random);
        let [team, call, class, size, output] = self.random.random::<[f64; 5]>();
        let class = self.mix.class(class);
        let (low, high) = self.output;
        let output = low + (output * (high - low + 1) as f64) as Tokens;
        let work = match call < self.calls {
            true => Work::Call,
            false => Work::Prompt { class, prompt: length(class, size), output },
        };
        let number = self.number;
        self.number += 1;
        Arrival { number, at: Duration::from_secs_f64(self.at), team: self.team(team), work }
    }

    fn team(&self, draw: f64) -> usize {
        let mut rest = draw * self.shares.iter().sum::<f64>();
        let last = self.shares.len().saturating_sub(1);
        for (index, share) in self.shares.iter().enumerate() {
            if rest < *share {
                return index;
            }
            rest -= share;
        }
        last
    }

    fn is_sent(&self, arrival: &Arrival) -> bool {
        match arrival.work {
            Work::Prompt { class, .. } => self.mix.sends(class),
            Work::Call => true,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let arrival = self.draw();
            if self.is_sent(&arrival) {
                return Some(arrival);
            }
        }
    }
}
