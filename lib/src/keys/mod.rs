//! Idempotency keys, and the ledger that ensures that the call of each key runs at most once.

mod answers;
mod key;
mod ledger;

pub use self::{
    answers::Answer,
    key::{IdempotencyKey, KeyError, is_valid_name},
    ledger::{CallDecision, Claim, Dispatched, KeyLedger, KeySettings, KeyState, Recorded},
};
