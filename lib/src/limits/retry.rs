//! Retry budget of one entry, which keeps retries from multiplying the load when a zone fails.

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Number of retries that each request adds to the budget.
    pub ratio: f64,
    /// Maximum number of retries in the budget.
    pub burst: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.1, burst: 100.0 }
    }
}

/// Token bucket of the retries that an entry may still make.
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

    /// Adds the retries that one new request earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.settings.ratio).min(self.settings.burst);
    }

    /// Withdraws one retry if the budget allows it, and returns whether it does.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
