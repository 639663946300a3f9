//! Idempotency keys and the ledger that runs each key at most once.

mod answers;
mod key;
mod ledger;

pub use self::{
    answers::Answer,
    key::{IdempotencyKey, KeyError, is_name},
    ledger::{Begin, Claim, Dispatched, KeyLedger, KeySettings, KeyState, Recorded},
};
