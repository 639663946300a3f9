//! Request arrivals of a seeded Poisson process.

use crate::{
    mix::{MixSettings, prompt_length},
    team::TeamShare,
};
use fulmarhead_lib::{cost::LengthClass, ids::Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, ExpError};
use std::time::Duration;

/// A request to send, with its arrival time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Sequence number from 0, which counts arrivals of all classes, also those that the mix leaves
    /// out.
    pub number: u64,
    /// Arrival time since the start of the run.
    pub offset: Duration,
    /// Index of the team in the settings.
    pub team: usize,
    /// Kind and parameters of the request.
    pub kind: RequestKind,
}

/// Kind of a request, with its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed completion of a prompt.
    Completion {
        /// Length class of the prompt.
        class: LengthClass,
        /// Length of the prompt.
        prompt_tokens: Tokens,
        /// Number of tokens to generate.
        output_tokens: Tokens,
    },
    /// A call to the application with an idempotency key.
    Call,
}

/// Endless iterator over the arrivals of one seed; equal settings give equal arrivals.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: ChaCha8Rng,
    interval: Exp<f64>,
    mix: MixSettings,
    shares: Vec<f64>,
    call_share: f64,
    output_range: (Tokens, Tokens),
    elapsed_secs: f64,
    next_number: u64,
}

impl Arrivals {
    /// Returns the arrivals of `seed` at `rate` per second over all classes.
    ///
    /// A fraction `call_share` of them are calls to the application. Completions generate between
    /// `output_range.0` and `output_range.1` tokens, both included. Returns an error if `rate` is
    /// out of range.
    pub fn new(
        seed: u64,
        rate: f64,
        mix: MixSettings,
        teams: &[TeamShare],
        call_share: f64,
        output_range: (Tokens, Tokens),
    ) -> Result<Self, ExpError> {
        Ok(Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            interval: Exp::new(rate)?,
            mix,
            shares: teams.iter().map(|team| team.share).collect(),
            call_share,
            output_range,
            elapsed_secs: 0.0,
            next_number: 0,
        })
    }

    /// Generates the next arrival, whether or not the mix sends it.
    ///
    /// Each arrival takes the same number of random numbers whatever the settings, so that runs
    /// with one seed and different mixes stay comparable.
    fn generate(&mut self) -> Arrival {
        self.elapsed_secs += self.interval.sample(&mut self.rng);
        let [team, call, class, length, output] = self.rng.random::<[f64; 5]>();
        let class = self.mix.select_class(class);
        let (low, high) = self.output_range;
        let output_tokens = low + (output * (high - low + 1) as f64) as Tokens;
        let kind = match call < self.call_share {
            true => RequestKind::Call,
            false => RequestKind::Completion {
                class,
                prompt_tokens: prompt_length(class, length),
                output_tokens,
            },
        };
        let number = self.next_number;
        self.next_number += 1;
        Arrival {
            number,
            offset: Duration::from_secs_f64(self.elapsed_secs),
            team: self.select_team(team),
            kind,
        }
    }

    /// Returns the index of the team for a random number from 0 to 1, weighted by the shares.
    fn select_team(&self, draw: f64) -> usize {
        let mut remaining = draw * self.shares.iter().sum::<f64>();
        let last = self.shares.len().saturating_sub(1);
        for (index, share) in self.shares.iter().enumerate() {
            if remaining < *share {
                return index;
            }
            remaining -= share;
        }
        last
    }

    fn is_sent(&self, arrival: &Arrival) -> bool {
        match arrival.kind {
            RequestKind::Completion { class, .. } => self.mix.includes(class),
            RequestKind::Call => true,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let arrival = self.generate();
            if self.is_sent(&arrival) {
                return Some(arrival);
            }
        }
    }
}
