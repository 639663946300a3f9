//! Idempotency keys and the ledger that runs each key at most once.

mod key;
mod ledger;

pub use self::{
    key::{IdempotencyKey, KeyError},
    ledger::{Answer, Begin, Claim, Dispatched, KeyLedger, KeySettings, KeyState, Recorded},
};
