//! Test fleet of real processes.

use super::{
    caller::Caller,
    child::{Process, ProcessError},
    document::TOKEN,
    links::{Link, Links, Side},
    plan::Plan,
    start::{FleetBuilder, agent_name, service_name},
    wait::{ConditionTimeout, eventually},
};
use crate::proxy::{Mode, Proxy};
use bytes::Bytes;
use fulmarhead_lib::{config, digest::sha256_hex, ids::Revision};
use fulmarhead_runtime::{
    http::{CallLimits, Client, ClientError, Endpoint},
    platform::{DocumentHead, DocumentPart},
};
use hyper::Method;
use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

/// Maximum time for the processes to start, and for a revision to take effect everywhere.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Limits on one write to the configuration service.
const WRITE_LIMITS: CallLimits = CallLimits { time: Duration::from_secs(1), bytes: 4 << 10 };

/// Reason why a fleet could not be started or reconfigured.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A proxy could not bind its address.
    #[error("failed to start proxy: {0}")]
    Proxy(#[from] io::Error),
    /// A process could not be started or restarted.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The configuration document is invalid, or can't be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A write to the configuration service failed.
    #[error(transparent)]
    Write(#[from] ClientError),
    /// The fleet did not reach an expected state in time.
    #[error(transparent)]
    ConditionTimeout(#[from] ConditionTimeout),
}

/// Entries, agents and stand-ins as processes, with a proxy on each link between them.
#[derive(Debug)]
pub struct Fleet {
    pub(super) plan: Plan,
    pub(super) client: Client,
    pub(super) links: Links,
    pub(super) processes: BTreeMap<String, Process>,
    pub(super) addresses: BTreeMap<String, SocketAddr>,
    pub(super) documents: Vec<config::Fleet>,
}

impl Fleet {
    /// Starts a fleet and waits until each entry sees each target as serving.
    pub async fn start(plan: Plan) -> Result<Self, FleetError> {
        let mut fleet = FleetBuilder::new(plan).start().await?;
        // Sides stay partitioned until each process has the document with the addresses of its
        // side.
        fleet.set_partition(Mode::Cut);
        fleet.write_all().await?;
        for (_, id) in fleet.plan.entry_ids().into_iter().chain(fleet.plan.target_ids()) {
            fleet.wait_revision(&[&id], fleet.revision()).await?;
        }
        fleet.set_partition(Mode::Pass);
        fleet.wait_serving().await?;
        Ok(fleet)
    }

    /// Returns a client of the entry with the given number, counted from 1.
    pub fn caller(&self, number: usize) -> Caller {
        let address = self.address_of(&format!("entry-{number}"));
        Caller::new(Client::default(), address, TOKEN)
    }

    /// Returns the process with the given name, such as `entry-1` or `engine-1`.
    ///
    /// Panics if there is none.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("the fleet has no process {name}"))
    }

    /// Returns the process of the agent of `target`.
    pub fn agent(&mut self, target: &str) -> &mut Process {
        self.process(&agent_name(target))
    }

    /// Returns the process of the configuration service of a side.
    pub fn service(&mut self, side: Side) -> &mut Process {
        self.process(&service_name(side))
    }

    /// Returns the proxy of a link; panics if the fleet has no such link.
    pub fn link(&self, link: &Link) -> &Proxy {
        self.links.get(link)
    }

    /// Sets the mode of all links that connect different sides.
    pub fn set_partition(&self, mode: Mode) {
        let plan = &self.plan;
        let targets = plan.target_ids();
        let entries = plan.entry_ids();
        let side = |ids: &[(usize, String)], id: &str| {
            ids.iter().find(|(_, other)| other == id).map(|(index, _)| index % plan.sides)
        };
        self.links.set_mode(mode, |link| match link {
            Link::Work(from, id) | Link::Control(from, id) => side(&targets, id) != Some(*from),
            Link::Peer(from, id) => side(&entries, id) != Some(*from),
            Link::Target(_) | Link::Service(_) => false,
        });
    }

    /// Returns the revision that was last published on the first side.
    pub fn revision(&self) -> Revision {
        self.documents[0].revision
    }

    /// Applies `change` to the document and publishes it as the next revision on all sides.
    pub async fn publish(
        &mut self,
        change: impl Fn(&mut config::Fleet),
    ) -> Result<Revision, FleetError> {
        for document in &mut self.documents {
            document.revision += 1;
            change(document);
        }
        self.write_all().await?;
        Ok(self.revision())
    }

    /// Publishes the unchanged document as the next revision, on one side only.
    pub async fn publish_on(&mut self, side: Side) -> Result<Revision, FleetError> {
        self.documents[side].revision += 1;
        self.write(side, &self.documents[side]).await?;
        Ok(self.documents[side].revision)
    }

    /// Writes `document` to the configuration service of a side, whatever its revision.
    pub async fn write(&self, side: Side, document: &config::Fleet) -> Result<(), FleetError> {
        let text = serde_json::to_string(document)?;
        let key = format!("fleet/{}/0", document.revision);
        let part = DocumentPart { key: key.clone(), sha256: sha256_hex(text.as_bytes()) };
        let head = DocumentHead { revision: document.revision, parts: vec![part] };
        self.put(side, &key, text.into()).await?;
        self.put(side, "fleet/head", serde_json::to_vec(&head)?.into()).await
    }

    /// Restarts the configuration service of a side and writes the last published document to it.
    pub async fn restart_service(&mut self, side: Side) -> Result<(), FleetError> {
        self.service(side).restart().await?;
        self.write(side, &self.documents[side]).await
    }

    /// Returns the document that was last published on a side.
    pub fn document(&self, side: Side) -> &config::Fleet {
        &self.documents[side]
    }

    async fn write_all(&mut self) -> Result<(), FleetError> {
        for (side, document) in self.documents.iter().enumerate() {
            self.write(side, document).await?;
        }
        Ok(())
    }

    async fn put(&self, side: Side, key: &str, value: Bytes) -> Result<(), FleetError> {
        let address = self.address_of(&service_name(side));
        let endpoint = Endpoint::new(address, format!("/v1/values/{key}"));
        // Retries because the service may still be starting.
        eventually("the configuration service accepts a value", START_TIMEOUT, async || {
            let call = self.client.call(Method::PUT, &endpoint, value.clone(), WRITE_LIMITS);
            call.await.ok()
        })
        .await?;
        Ok(())
    }

    pub(super) fn address_of(&self, name: &str) -> SocketAddr {
        let address = self.addresses.get(name);
        *address.unwrap_or_else(|| panic!("the fleet has no address {name}"))
    }
}
