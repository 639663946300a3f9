//! The retry budget of an entry, so that a failing zone does not multiply load.

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries that each request adds to the budget.
    pub share: f64,
    /// Most retries that the budget holds.
    pub burst: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { share: 0.1, burst: 100.0 }
    }
}

/// Retries that an entry may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, balance: settings.burst }
    }

    /// Adds the share of one new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.settings.share).min(self.settings.burst);
    }

    /// Takes one retry; returns whether the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
