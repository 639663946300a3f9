//! Handler of control messages from other entries.

use crate::entry::Entry;
use fulmarhead_lib::{
    config::Bundle,
    control::{ConfigVersion, LeaseReply, LeaseRequest, Report, SyncReply},
    ids::{LeaseId, Revision},
    outcome::{Reason, Refusal},
};
use fulmarhead_runtime::control::ControlHandler;

impl ControlHandler for Entry {
    fn sync(&self, version: ConfigVersion) -> SyncReply {
        self.state().config.compare(&version)
    }

    fn adopt(&self, bundle: Bundle) -> Revision {
        Entry::adopt(self, bundle)
    }

    fn report(&self) -> Option<Report> {
        None
    }

    // An entry holds no engine memory, so it grants no leases.
    fn reserve(&self, _: LeaseId, _: LeaseRequest) -> LeaseReply {
        Err(Refusal::not_run(Reason::WrongTarget))
    }

    fn renew(&self, _: LeaseId) -> LeaseReply {
        Err(Refusal::not_run(Reason::WrongTarget))
    }

    fn release(&self, _: LeaseId) -> bool {
        false
    }
}
