//! A fleet of processes.

use super::{
    caller::Caller,
    child::{Process, ProcessError},
    document::TOKEN,
    links::{Link, Links, Side},
    plan::Plan,
    start::{Starter, agent_name, service_name},
    wait::{Expired, eventually},
};
use crate::proxy::{Mode, Proxy};
use bytes::Bytes;
use fulmarhead_lib::{config, digest::sha256_hex, ids::Revision};
use fulmarhead_runtime::{
    http::{Client, ClientError, Endpoint},
    platform::{DocumentHead, DocumentPart},
};
use hyper::Method;
use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

/// Longest time for the processes to come up and for a revision to be in force everywhere.
pub(super) const START_LIMIT: Duration = Duration::from_secs(20);

/// Longest time for one write to the configuration service.
const WRITE_LIMIT: Duration = Duration::from_secs(1);

/// Why a fleet could not be started or changed.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A proxy could not be started.
    #[error("proxy can't be started: {0}")]
    Proxy(#[from] io::Error),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The document is not of the published form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The configuration service can't be written.
    #[error(transparent)]
    Write(#[from] ClientError),
    /// A condition did not come about in time.
    #[error(transparent)]
    Expired(#[from] Expired),
}

/// Entries, agents and stand-ins as processes, with a proxy in front of each of them.
#[derive(Debug)]
pub struct Fleet {
    pub(super) plan: Plan,
    pub(super) client: Client,
    pub(super) links: Links,
    pub(super) processes: BTreeMap<String, Process>,
    pub(super) places: BTreeMap<String, SocketAddr>,
    pub(super) documents: Vec<config::Fleet>,
}

impl Fleet {
    /// Starts a fleet and waits until each entry knows that each target serves.
    pub async fn start(plan: Plan) -> Result<Self, FleetError> {
        let mut fleet = Starter::new(plan).start().await?;
        // Each side must get the document with its own addresses first.
        fleet.set_partition(Mode::Cut);
        fleet.write_all().await?;
        for (_, id) in fleet.plan.entry_ids().into_iter().chain(fleet.plan.target_ids()) {
            fleet.wait_revision(&[&id], fleet.revision()).await?;
        }
        fleet.set_partition(Mode::Pass);
        fleet.wait_serving().await?;
        Ok(fleet)
    }

    /// Returns a caller of the entry with the given number, counted from 1.
    pub fn caller(&self, number: usize) -> Caller {
        let address = self.place(&format!("entry-{number}"));
        Caller::new(Client::default(), address, TOKEN)
    }

    /// Returns the process of an entry or a target.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("the fleet has no process {name}"))
    }

    /// Returns the process of the agent beside `target`.
    pub fn agent(&mut self, target: &str) -> &mut Process {
        self.process(&agent_name(target))
    }

    /// Returns the process of the configuration service of a side.
    pub fn service(&mut self, side: Side) -> &mut Process {
        self.process(&service_name(side))
    }

    /// Returns the proxy of a link.
    pub fn link(&self, link: &Link) -> &Proxy {
        self.links.get(link)
    }

    /// Sets the mode of all links between different sides.
    pub fn set_partition(&self, mode: Mode) {
        let plan = &self.plan;
        let targets = plan.target_ids();
        let entries = plan.entry_ids();
        let side = |ids: &[(usize, String)], id: &str| {
            ids.iter().find(|(_, other)| other == id).map(|(index, _)| index % plan.sides)
        };
        self.links.set_all(mode, |link| match link {
            Link::Work(from, id) | Link::Control(from, id) => side(&targets, id) != Some(*from),
            Link::Peer(from, id) => side(&entries, id) != Some(*from),
            Link::Target(_) | Link::Service(_) => false,
        });
    }

    /// Returns the revision that was published last.
    pub fn revision(&self) -> Revision {
        self.documents[0].revision
    }

    /// Publishes the next revision, in which `change` is made, on all sides.
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

    /// Publishes the next revision without further change on one side alone.
    pub async fn publish_on(&mut self, side: Side) -> Result<Revision, FleetError> {
        self.documents[side].revision += 1;
        self.write(side, &self.documents[side]).await?;
        Ok(self.documents[side].revision)
    }

    /// Writes `document` to the configuration service of a side, however old it is.
    pub async fn write(&self, side: Side, document: &config::Fleet) -> Result<(), FleetError> {
        let text = serde_json::to_string(document)?;
        let key = format!("fleet/{}/0", document.revision);
        let part = DocumentPart { key: key.clone(), sha256: sha256_hex(text.as_bytes()) };
        let head = DocumentHead { revision: document.revision, parts: vec![part] };
        self.put(side, &key, text.into()).await?;
        self.put(side, "fleet/head", serde_json::to_vec(&head)?.into()).await
    }

    /// Starts the configuration service of a side anew, with the document that was published last.
    pub async fn restart_service(&mut self, side: Side) -> Result<(), FleetError> {
        self.service(side).restart().await?;
        self.write(side, &self.documents[side]).await
    }

    /// Returns the document that was published last on a side.
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
        let address = self.place(&service_name(side));
        let endpoint = Endpoint::new(address, format!("/v1/values/{key}"));
        // The service may still be starting.
        eventually("the configuration service takes a value", START_LIMIT, async || {
            let call = self.client.call(Method::PUT, &endpoint, value.clone(), WRITE_LIMIT);
            call.await.ok()
        })
        .await?;
        Ok(())
    }

    pub(super) fn place(&self, name: &str) -> SocketAddr {
        let place = self.places.get(name);
        *place.unwrap_or_else(|| panic!("the fleet has no address {name}"))
    }
}
