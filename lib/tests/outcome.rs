//! Tests of what refusals say about whether a request has run.

use fulmarhead_lib::outcome::{Outcome, Reason, Refusal};
use testutils::cases;

fn check_engine_status(status: u16, expected: Option<(Reason, Outcome)>) {
    let refusal = Refusal::from_engine_status(status);
    assert_eq!(refusal.map(|refusal| (refusal.reason, refusal.outcome)), expected);
}

cases! {
    check_engine_status {
        success: (200, None),
        busy: (503, Some((Reason::Overloaded, Outcome::NotRun))),
        no_memory: (507, Some((Reason::NoMemory, Outcome::NotRun))),
        unknown_stream: (404, Some((Reason::OutOfService, Outcome::NotRun))),
        /// Guards against "not run" for a request at which the engine failed.
        internal_error: (500, Some((Reason::TargetFailed, Outcome::Failed))),
        bad_gateway: (502, Some((Reason::TargetFailed, Outcome::Failed))),
        redirect: (302, Some((Reason::TargetFailed, Outcome::Failed))),
    }
}
