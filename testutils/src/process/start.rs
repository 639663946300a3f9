//! Startup of the processes of a test fleet.

use super::{
    addresses::AddressAllocator,
    child::Process,
    document::document,
    fleet::{Fleet, FleetError},
    links::{Link, Links, Side},
    plan::Plan,
    program::Program,
};
use fulmarhead_runtime::http::Client;
use std::{collections::BTreeMap, net::SocketAddr};

/// Builder that assigns addresses, starts proxies and starts the processes of a fleet.
pub(super) struct FleetBuilder {
    plan: Plan,
    allocator: AddressAllocator,
    links: Links,
    processes: BTreeMap<String, Process>,
    addresses: BTreeMap<String, SocketAddr>,
}

impl FleetBuilder {
    pub(super) fn new(plan: Plan) -> Self {
        Self {
            plan,
            allocator: AddressAllocator::new(),
            links: Links::default(),
            processes: BTreeMap::new(),
            addresses: BTreeMap::new(),
        }
    }

    /// Starts all processes, without publishing a configuration.
    pub(super) async fn start(mut self) -> Result<Fleet, FleetError> {
        self.add_links().await?;
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
            addresses: self.addresses,
            documents,
        })
    }

    fn sides(&self) -> std::ops::Range<Side> {
        0..self.plan.sides
    }

    /// Assigns an address to a name such as `engine-1/work`.
    fn assign_address(&mut self, name: &str) -> SocketAddr {
        let address = self.allocator.allocate();
        self.addresses.insert(name.to_owned(), address);
        address
    }

    /// Assigns all addresses and starts a proxy for each link to them.
    async fn add_links(&mut self) -> Result<(), FleetError> {
        for (_, id) in self.plan.target_ids() {
            let target = self.assign_address(&id);
            self.links.add(&mut self.allocator, Link::Target(id.clone()), target).await?;
            let work = self.assign_address(&format!("{id}/work"));
            let control = self.assign_address(&format!("{id}/control"));
            self.assign_address(&format!("{id}/ops"));
            for side in self.sides() {
                let link = Link::Work(side, id.clone());
                self.links.add(&mut self.allocator, link, work).await?;
                let link = Link::Control(side, id.clone());
                self.links.add(&mut self.allocator, link, control).await?;
            }
        }
        for (_, id) in self.plan.entry_ids() {
            self.assign_address(&id);
            self.assign_address(&format!("{id}/ops"));
            let control = self.assign_address(&format!("{id}/control"));
            for side in self.sides() {
                let link = Link::Peer(side, id.clone());
                self.links.add(&mut self.allocator, link, control).await?;
            }
        }
        for side in self.sides() {
            let service = self.assign_address(&service_name(side));
            self.links.add(&mut self.allocator, Link::Service(side), service).await?;
        }
        Ok(())
    }

    fn start_services(&mut self) -> Result<(), FleetError> {
        for side in self.sides() {
            let name = service_name(side);
            let flags = vec![flag("address", self.addresses[&name])];
            self.start_process(&name, Program::ConfigService, flags)?;
        }
        Ok(())
    }

    fn start_targets(&mut self) -> Result<(), FleetError> {
        for (_, id) in self.plan.engine_ids() {
            let mut flags = vec![
                flag("address", self.addresses[&id]),
                flag("models", super::MODEL),
                flag("kv-total", self.plan.kv_total),
                flag("prefill-rate", self.plan.prefill_rate),
                flag("decode-micros", self.plan.decode_time.as_micros()),
            ];
            flags.extend(self.plan.crash_text.iter().map(|text| flag("crash-text", text)));
            self.start_process(&id, Program::Engine, flags)?;
        }
        for (_, id) in self.plan.worker_ids() {
            let flags = vec![
                flag("address", self.addresses[&id]),
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
            flag("work", self.addresses[&format!("{id}/work")]),
            flag("control", self.addresses[&format!("{id}/control")]),
            flag("ops", self.addresses[&format!("{id}/ops")]),
            flag("service", self.links.address(&Link::Service(side))),
            flag("seeds", self.seeds(side, "")),
            flag("cold-cap", 8),
            flag("stop-seconds", self.plan.stop_timeout.as_secs()),
        ];
        self.start_process(&agent_name(id), Program::Agent, flags)
    }

    fn start_entries(&mut self) -> Result<(), FleetError> {
        for (index, id) in self.plan.entry_ids() {
            let side = index % self.plan.sides;
            let flags = vec![
                flag("id", &id),
                flag("zone", self.plan.zone(index)),
                flag("callers", self.addresses[&id]),
                flag("control", self.addresses[&format!("{id}/control")]),
                flag("ops", self.addresses[&format!("{id}/ops")]),
                flag("service", self.links.address(&Link::Service(side))),
                flag("seeds", self.seeds(side, &id)),
                flag("drain-seconds", self.plan.drain_time.as_secs()),
                flag("stop-seconds", self.plan.stop_timeout.as_secs()),
            ];
            let variables = self.plan.entry_variables.clone();
            let process = Process::start_with(Program::Entry, flags, variables)?;
            self.processes.insert(id, process);
        }
        Ok(())
    }

    /// Returns the control addresses of all entries except `own`, as seen from `side`.
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

/// Returns the process name of the agent of `target`.
pub(super) fn agent_name(target: &str) -> String {
    format!("agent of {target}")
}

/// Returns the process name of the configuration service of a side.
pub(super) fn service_name(side: Side) -> String {
    format!("service-{}", side + 1)
}

fn flag(name: &str, value: impl std::fmt::Display) -> String {
    format!("--{name}={value}")
}
