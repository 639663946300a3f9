//! Starts the processes of a fleet.

use super::{
    addresses::Addresses,
    child::Process,
    document::document,
    fleet::{Fleet, FleetError},
    links::{Link, Links, Side},
    plan::Plan,
    program::Program,
};
use fulmarhead_runtime::http::Client;
use std::{collections::BTreeMap, net::SocketAddr};

/// Builds a fleet.
pub(super) struct Starter {
    plan: Plan,
    addresses: Addresses,
    links: Links,
    processes: BTreeMap<String, Process>,
    places: BTreeMap<String, SocketAddr>,
}

impl Starter {
    pub(super) fn new(plan: Plan) -> Self {
        Self {
            plan,
            addresses: Addresses::new(),
            links: Links::default(),
            processes: BTreeMap::new(),
            places: BTreeMap::new(),
        }
    }

    /// Starts all processes; none has a configuration yet.
    pub(super) async fn start(mut self) -> Result<Fleet, FleetError> {
        self.link().await?;
        self.start_services()?;
        self.start_targets()?;
        self.start_agents()?;
        self.start_entries()?;
        let documents = self.sides().map(|side| document(&self.plan, &self.links, side));
        let documents = documents.collect::<Result<_, _>>()?;
        Ok(Fleet {
            plan: self.plan,
            client: Client::default(),
            links: self.links,
            processes: self.processes,
            places: self.places,
            documents,
        })
    }

    fn sides(&self) -> std::ops::Range<Side> {
        0..self.plan.sides
    }

    /// Hands out an address under a name such as `engine-1/work`.
    fn place(&mut self, name: &str) -> SocketAddr {
        let address = self.addresses.take();
        self.places.insert(name.to_owned(), address);
        address
    }

    /// Hands out all addresses and puts proxies in front of those that other processes call.
    async fn link(&mut self) -> Result<(), FleetError> {
        for (_, id) in self.plan.target_ids() {
            let target = self.place(&id);
            self.links.add(&mut self.addresses, Link::Target(id.clone()), target).await?;
            let work = self.place(&format!("{id}/work"));
            let control = self.place(&format!("{id}/control"));
            self.place(&format!("{id}/ops"));
            for side in self.sides() {
                let link = Link::Work(side, id.clone());
                self.links.add(&mut self.addresses, link, work).await?;
                let link = Link::Control(side, id.clone());
                self.links.add(&mut self.addresses, link, control).await?;
            }
        }
        for (_, id) in self.plan.entry_ids() {
            self.place(&id);
            self.place(&format!("{id}/ops"));
            let control = self.place(&format!("{id}/control"));
            for side in self.sides() {
                let link = Link::Peer(side, id.clone());
                self.links.add(&mut self.addresses, link, control).await?;
            }
        }
        for side in self.sides() {
            let service = self.place(&service_name(side));
            self.links.add(&mut self.addresses, Link::Service(side), service).await?;
        }
        Ok(())
    }

    fn start_services(&mut self) -> Result<(), FleetError> {
        for side in self.sides() {
            let name = service_name(side);
            let flags = vec![flag("address", self.places[&name])];
            self.start_process(&name, Program::ConfigService, flags)?;
        }
        Ok(())
    }

    fn start_targets(&mut self) -> Result<(), FleetError> {
        for (_, id) in self.plan.engine_ids() {
            let flags = vec![
                flag("address", self.places[&id]),
                flag("models", super::MODEL),
                flag("kv-total", self.plan.kv_total),
                flag("prefill-rate", self.plan.prefill_rate),
                flag("decode-micros", self.plan.decode_time.as_micros()),
            ];
            self.start_process(&id, Program::Engine, flags)?;
        }
        for (_, id) in self.plan.worker_ids() {
            let flags = vec![
                flag("address", self.places[&id]),
                flag("service-micros", self.plan.service_time.as_micros()),
            ];
            self.start_process(&id, Program::Application, flags)?;
        }
        Ok(())
    }

    fn start_agents(&mut self) -> Result<(), FleetError> {
        for (index, id) in self.plan.engine_ids() {
            self.start_agent(index, &id, "engine")?;
        }
        for (index, id) in self.plan.worker_ids() {
            self.start_agent(index, &id, "application")?;
        }
        Ok(())
    }

    fn start_agent(&mut self, index: usize, id: &str, kind: &str) -> Result<(), FleetError> {
        let side = index % self.plan.sides;
        let flags = vec![
            flag("target", id),
            flag("kind", kind),
            flag("target-address", self.links.address(&Link::Target(id.to_owned()))),
            flag("work", self.places[&format!("{id}/work")]),
            flag("control", self.places[&format!("{id}/control")]),
            flag("ops", self.places[&format!("{id}/ops")]),
            flag("service", self.links.address(&Link::Service(side))),
            flag("seeds", self.seeds(side, "")),
            flag("cold-cap", 8),
            flag("stop-seconds", self.plan.stop_bound.as_secs()),
        ];
        self.start_process(&agent_name(id), Program::Agent, flags)
    }

    fn start_entries(&mut self) -> Result<(), FleetError> {
        for (index, id) in self.plan.entry_ids() {
            let side = index % self.plan.sides;
            let flags = vec![
                flag("id", &id),
                flag("zone", self.plan.zone(index)),
                flag("callers", self.places[&id]),
                flag("control", self.places[&format!("{id}/control")]),
                flag("ops", self.places[&format!("{id}/ops")]),
                flag("service", self.links.address(&Link::Service(side))),
                flag("seeds", self.seeds(side, &id)),
                flag("drain-seconds", self.plan.drain_time.as_secs()),
                flag("stop-seconds", self.plan.stop_bound.as_secs()),
            ];
            self.start_process(&id, Program::Entry, flags)?;
        }
        Ok(())
    }

    /// Returns the control addresses of all entries but `own`, as `side` reaches them.
    fn seeds(&self, side: Side, own: &str) -> String {
        let others = self.plan.entry_ids().into_iter().filter(|(_, id)| id != own);
        let addresses = others.map(|(_, id)| self.links.address(&Link::Peer(side, id)).to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    fn start_process(
        &mut self,
        name: &str,
        program: Program,
        flags: Vec<String>,
    ) -> Result<(), FleetError> {
        self.processes.insert(name.to_owned(), Process::start(program, flags)?);
        Ok(())
    }
}

/// Returns the name of the agent beside `target`.
pub(super) fn agent_name(target: &str) -> String {
    format!("agent of {target}")
}

/// Returns the name of the configuration service of a side.
pub(super) fn service_name(side: Side) -> String {
    format!("service-{}", side + 1)
}

fn flag(name: &str, value: impl std::fmt::Display) -> String {
    format!("--{name}={value}")
}
