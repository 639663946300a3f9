//! Lookup of routes, services and teams in one configuration.

use super::{Route, Service};
use crate::ids::{Revision, ServiceId, TeamId};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use strum::{Display, IntoStaticStr};

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum total size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Reason why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or belongs to no team.
    UnknownKey,
}

/// Route and team that match a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch {
    /// Route with the longest matching prefix.
    pub route: Arc<Route>,
    /// Team that owns the API key; `None` if the request was allowed without a known key.
    pub team: Option<TeamId>,
    /// Priority of the request, where 0 is the most urgent. The priority of the team takes
    /// precedence over that of the route.
    pub priority: u8,
}

/// Name and priority of the team that owns a key.
type KeyOwner = (TeamId, Option<u8>);

/// Immutable lookup table of the routes, services and API keys of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    version: Revision,
    limits: CallerLimits,
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    services: BTreeMap<ServiceId, Arc<Service>>,
    keys: BTreeMap<String, KeyOwner>,
    has_teams: bool,
}

/// Builder of a [`RouteTable`].
#[derive(Debug, Default)]
pub struct RouteTableBuilder(RouteTable);

impl RouteTableBuilder {
    /// Returns an empty builder for version `version` of the configuration.
    pub fn new(version: Revision, limits: CallerLimits) -> Self {
        Self(RouteTable { version, limits, ..RouteTable::default() })
    }

    /// Adds a route; it replaces one with the same host and prefix.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.0.hosts.entry(route.host.to_ascii_lowercase()).or_default();
        routes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service; it replaces one with the same name.
    pub fn add_service(&mut self, service: Service) {
        self.0.services.insert(service.id.clone(), Arc::new(service));
    }

    /// Adds a team with its API keys and, if it has one, its own priority.
    pub fn add_team(
        &mut self,
        team: &TeamId,
        priority: Option<u8>,
        keys: impl Iterator<Item = String>,
    ) {
        self.0.has_teams = true;
        self.0.keys.extend(keys.map(|key| (key, (team.clone(), priority))));
    }

    /// Returns the table of all parts that were added.
    pub fn build(self) -> RouteTable {
        self.0
    }
}

impl RouteTable {
    /// Returns the version of the configuration.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the service with the name `id`.
    pub fn service(&self, id: &str) -> Option<&Arc<Service>> {
        self.services.get(id)
    }

    /// Returns all services in order of their names.
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

    /// Returns the route with the longest prefix of `path` on `host`, and the team that owns `key`.
    ///
    /// A port in `host` is ignored, and so is its case. Without any teams, no keys are required.
    ///
    /// # Errors
    ///
    /// Returns [`Denial::NoRoute`] if no route matches the path, or [`Denial::UnknownKey`] if the
    /// route requires an API key and `key` belongs to no team.
    pub fn select(&self, host: &str, path: &str, key: Option<&str>) -> Result<RouteMatch, Denial> {
        let route = self.route(host, path).ok_or(Denial::NoRoute)?;
        let owner = key.and_then(|key| self.keys.get(key));
        if owner.is_none() && self.has_teams && !route.anonymous {
            return Err(Denial::UnknownKey);
        }
        let priority = owner.and_then(|(_, priority)| *priority).unwrap_or(route.priority);
        let team = owner.map(|(team, _)| team.clone());
        Ok(RouteMatch { route: Arc::clone(route), team, priority })
    }

    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host_name)?;
        let prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        prefixes.filter_map(|prefix| routes.get(prefix)).next()
    }
}
