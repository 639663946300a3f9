//! Handlers of control messages from entries and other agents.

use crate::agent::{Agent, Cleanup};
use fulmarhead_lib::{
    config::Bundle,
    control::{ConfigVersion, LeaseReply, LeaseRequest, Report, SyncReply},
    ids::{LeaseId, Revision},
};
use fulmarhead_runtime::control::ControlHandler;
use log::info;

impl ControlHandler for Agent {
    fn sync(&self, version: ConfigVersion) -> SyncReply {
        let mut state = self.state();
        state.last_sync = Some(self.clock.now());
        let reply = state.config.compare(&version);
        // If the revision of the agent is lower, it stays unsynced until the entry sends the newer
        // configuration.
        state.unsynced &= matches!(reply, SyncReply::Behind(_));
        reply
    }

    fn adopt(&self, bundle: Bundle) -> Revision {
        Agent::adopt(self, bundle)
    }

    fn report(&self) -> Option<Report> {
        Some(Agent::report(self))
    }

    fn reserve(&self, lease: LeaseId, request: LeaseRequest) -> LeaseReply {
        let mut state = self.current_state();
        state.admission.check_phase()?;
        let in_use = state.admission.unleased_usage();
        let now = self.clock.now();
        let reply = state.leases.reserve(request.request, lease, request.tokens, in_use, now);
        drop(state);
        let granted = reply.is_ok();
        info!(
            target: "decision", request:% = request.request, lease:%, tokens = request.tokens, granted;
            "lease asked for"
        );
        reply
    }

    fn renew(&self, lease: LeaseId) -> LeaseReply {
        self.state().leases.renew(lease, self.clock.now())
    }

    fn release(&self, lease: LeaseId) -> bool {
        let known = self.state().leases.release(lease, self.clock.now());
        self.queue_cleanup(Cleanup::Lease(lease));
        known
    }
}
