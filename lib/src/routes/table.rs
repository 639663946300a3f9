//! The routes, services and teams of one configuration.

use super::{Route, Service};
use crate::ids::{Revision, ServiceId, TeamId};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use strum::{Display, IntoStaticStr};

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of all headers of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time until the headers of a request are here.
    pub header_time: Duration,
    /// Longest time that a connection may stay unused.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No route takes the request.
    NoRoute,
    /// No team holds the key, or there is none.
    UnknownKey,
}

/// The route and the team of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Selected {
    /// Route.
    pub route: Arc<Route>,
    /// Team that holds the key; none on a route without keys.
    pub team: Option<TeamId>,
    /// Rank, 0 is the most urgent; the team's goes before the route's.
    pub rank: u8,
}

/// A team's name and rank, for each of its keys.
type Holder = (TeamId, Option<u8>);

/// The routes, services and teams of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    version: Revision,
    limits: CallerLimits,
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    services: BTreeMap<ServiceId, Arc<Service>>,
    keys: BTreeMap<String, Holder>,
    with_teams: bool,
}

/// Collects the parts of a configuration.
#[derive(Debug, Default)]
pub struct RouteTableBuilder(RouteTable);

impl RouteTableBuilder {
    /// Returns a builder of the configuration `version`.
    pub fn new(version: Revision, limits: CallerLimits) -> Self {
        Self(RouteTable { version, limits, ..RouteTable::default() })
    }

    /// Adds a route.
    pub fn route(&mut self, route: Route) {
        let routes = self.0.hosts.entry(route.host.to_ascii_lowercase()).or_default();
        routes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn service(&mut self, service: Service) {
        self.0.services.insert(service.id.clone(), Arc::new(service));
    }

    /// Adds a team with its keys.
    pub fn team(&mut self, team: &TeamId, rank: Option<u8>, keys: impl Iterator<Item = String>) {
        self.0.with_teams = true;
        self.0.keys.extend(keys.map(|key| (key, (team.clone(), rank))));
    }

    /// Returns the table.
    pub fn build(self) -> RouteTable {
        self.0
    }
}

impl RouteTable {
    /// Returns the version of the configuration.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns a service by its name.
    pub fn service(&self, id: &str) -> Option<&Arc<Service>> {
        self.services.get(id)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Selects the route with the longest prefix of `path` on `host`, and the team of `key`.
    ///
    /// # Errors
    /// `NoRoute` if no route takes the path, `UnknownKey` if the route needs a key of a team and
    /// `key` is not one.
    pub fn select(&self, host: &str, path: &str, key: Option<&str>) -> Result<Selected, Denial> {
        let route = self.route(host, path).ok_or(Denial::NoRoute)?;
        let holder = key.and_then(|key| self.keys.get(key));
        if holder.is_none() && self.with_teams && !route.anonymous {
            return Err(Denial::UnknownKey);
        }
        let rank = holder.and_then(|(_, rank)| *rank).unwrap_or(route.rank);
        let team = holder.map(|(team, _)| team.clone());
        Ok(Selected { route: Arc::clone(route), team, rank })
    }

    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        ends.filter_map(|prefix| routes.get(prefix)).next()
    }
}
