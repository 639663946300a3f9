//! Answers to control messages.

use crate::entry::Entry;
use fulmarhead_lib::{
    config::Bundle,
    control::{LeaseReply, LeaseRequest, Report, SyncReply},
    ids::{LeaseId, Revision},
    outcome::{Reason, Refusal},
};
use fulmarhead_runtime::control::Handler;

impl Handler for Entry {
    fn sync(&self, revision: Revision) -> SyncReply {
        let bundle = self.core().view.bundle();
        let own = bundle.as_ref().map_or(0, |bundle| bundle.revision);
        match bundle {
            Some(bundle) if own > revision => SyncReply::Newer(bundle),
            _ if own < revision => SyncReply::Behind(own),
            _ => SyncReply::Current,
        }
    }

    fn adopt(&self, bundle: Bundle) -> Revision {
        Entry::adopt(self, bundle)
    }

    fn report(&self) -> Option<Report> {
        None
    }

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
