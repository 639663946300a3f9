//! Checks of everything but the release note.

use super::collector::Collector;
use crate::config::{
    Application, Bounds, Entry, Fleet, Kind, Policy, ProblemKind, Route, Target, Team,
};
use std::collections::BTreeSet;

/// The names that a document defines.
struct Defined<'a> {
    zones: BTreeSet<&'a str>,
    models: BTreeSet<&'a str>,
    applications: BTreeSet<&'a str>,
}

/// Adds every contradiction outside the release note.
pub(super) fn check(fleet: &Fleet, found: &mut Collector) {
    let defined = Defined {
        zones: fleet.zones.iter().map(|zone| zone.id.as_str()).collect(),
        models: fleet.models.iter().map(|model| model.id.as_str()).collect(),
        applications: fleet.applications.iter().map(|app| app.id.as_str()).collect(),
    };
    // Revision 0 stands for "no configuration" in the control protocol.
    found.require(fleet.revision > 0, "revision", ProblemKind::Zero, fleet.revision);
    check_zones(fleet, found);
    check_models(fleet, found);
    for (index, target) in fleet.targets.iter().enumerate() {
        check_target(&format!("targets[{index}]"), target, &defined, found);
    }
    for (index, entry) in fleet.entries.iter().enumerate() {
        check_entry(&format!("entries[{index}]"), entry, &defined, found);
    }
    for (index, team) in fleet.teams.iter().enumerate() {
        check_team(&format!("teams[{index}]"), team, &defined, found);
    }
    for (index, application) in fleet.applications.iter().enumerate() {
        check_application(&format!("applications[{index}]"), application, found);
    }
    check_bounds(&fleet.bounds, found);
    check_policy(&fleet.policy, found);
}

fn check_zones(fleet: &Fleet, found: &mut Collector) {
    for (index, zone) in fleet.zones.iter().enumerate() {
        let path = format!("zones[{index}].id");
        found.name(&path, &zone.id);
        found.unique("zone", path, &zone.id);
    }
}

fn check_models(fleet: &Fleet, found: &mut Collector) {
    for (index, model) in fleet.models.iter().enumerate() {
        let path = format!("models[{index}]");
        found.name(format!("{path}.id"), &model.id);
        found.unique("model", format!("{path}.id"), &model.id);
        let path = format!("{path}.max_tokens");
        found.require(model.max_tokens > 0, path, ProblemKind::Zero, model.max_tokens);
    }
}

fn check_target(path: &str, target: &Target, defined: &Defined, found: &mut Collector) {
    let id = format!("{path}.id");
    found.name(&id, &target.id);
    found.unique("target", id, &target.id);
    found.unique("address", format!("{path}.work"), &target.work.to_string());
    found.unique("address", format!("{path}.control"), &target.control.to_string());
    check_zone(path, &target.zone, defined, found);
    found.references(&format!("{path}.models"), &target.models, &defined.models);
    if let Some(application) = &target.application {
        let known = defined.applications.contains(application.as_str());
        let path = format!("{path}.application");
        found.require(known, path, ProblemKind::Undefined, application);
    }
    check_kind(path, target, found);
}

fn check_kind(path: &str, target: &Target, found: &mut Collector) {
    let models = !target.models.is_empty();
    let application = target.application.is_some();
    let (models, application, models_kind, application_kind) = match target.kind {
        Kind::Engine => (
            models,
            !application,
            ProblemKind::EngineWithoutModels,
            ProblemKind::EngineWithApplication,
        ),
        Kind::Application => (
            !models,
            application,
            ProblemKind::WorkerWithModels,
            ProblemKind::WorkerWithoutApplication,
        ),
    };
    found.require(models, format!("{path}.models"), models_kind, &target.id);
    found.require(application, format!("{path}.application"), application_kind, &target.id);
}

fn check_zone(path: &str, zone: &str, defined: &Defined, found: &mut Collector) {
    let known = defined.zones.contains(zone);
    found.require(known, format!("{path}.zone"), ProblemKind::Undefined, zone);
}

fn check_entry(path: &str, entry: &Entry, defined: &Defined, found: &mut Collector) {
    let id = format!("{path}.id");
    found.name(&id, &entry.id);
    found.unique("entry", id, &entry.id);
    found.unique("address", format!("{path}.control"), &entry.control.to_string());
    check_zone(path, &entry.zone, defined, found);
}

fn check_team(path: &str, team: &Team, defined: &Defined, found: &mut Collector) {
    let id = format!("{path}.id");
    found.name(&id, &team.id);
    found.unique("team", id, &team.id);
    let token = format!("{path}.token_sha256");
    found.require(
        is_digest(&team.token_sha256),
        &token,
        ProblemKind::InvalidDigest,
        &team.token_sha256,
    );
    found.unique("token", token, &team.token_sha256);
    found.references(&format!("{path}.models"), &team.models, &defined.models);
    found.references(&format!("{path}.applications"), &team.applications, &defined.applications);
    let rate = format!("{path}.tokens_per_second");
    found.require(team.tokens_per_second > 0, rate, ProblemKind::Zero, team.tokens_per_second);
    let burst = format!("{path}.burst_tokens");
    found.require(team.burst_tokens > 0, burst, ProblemKind::Zero, team.burst_tokens);
}

/// Digests are compared as text with those of `sha256_hex`, which are in lower case.
fn is_digest(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(digit)
}

fn check_application(path: &str, application: &Application, found: &mut Collector) {
    let id = format!("{path}.id");
    found.name(&id, &application.id);
    found.unique("application", id, &application.id);
    let mut seen = BTreeSet::new();
    for (index, route) in application.routes.iter().enumerate() {
        let path = format!("{path}.routes[{index}]");
        check_route(&path, route, found);
        let new = seen.insert((&route.method, &route.path));
        found.require(new, path, ProblemKind::Duplicate, &route.path);
    }
}

fn check_route(path: &str, route: &Route, found: &mut Collector) {
    let upper = route.method.bytes().all(|byte| byte.is_ascii_uppercase());
    let method = !route.method.is_empty() && upper;
    found.require(method, format!("{path}.method"), ProblemKind::InvalidRoute, &route.method);
    let leading = route.path.starts_with('/');
    found.require(leading, format!("{path}.path"), ProblemKind::InvalidRoute, &route.path);
}

fn check_bounds(bounds: &Bounds, found: &mut Collector) {
    let (min, default, max) =
        (bounds.min_deadline_ms, bounds.default_deadline_ms, bounds.max_deadline_ms);
    let contradict = ProblemKind::BoundsContradict;
    found.require(min > 0, "bounds.min_deadline_ms", ProblemKind::Zero, min);
    found.require(min <= max, "bounds.min_deadline_ms", contradict, min);
    found.require(
        min <= default && default <= max,
        "bounds.default_deadline_ms",
        contradict,
        default,
    );
    found.require(bounds.max_body > 0, "bounds.max_body", ProblemKind::Zero, bounds.max_body);
}

fn check_policy(policy: &Policy, found: &mut Collector) {
    let shares =
        [("policy.long_share", policy.long_share), ("policy.zone_reserve", policy.zone_reserve)];
    for (path, share) in shares {
        found.require((0.0..=1.0).contains(&share), path, ProblemKind::NotAShare, share);
    }
}
