//! Checks of all sections of a document except the release note.

use super::collector::Collector;
use crate::config::{
    Application, Bounds, Entry, Fleet, Policy, ProblemKind, Route, Target, TargetKind, Team,
};
use std::collections::BTreeSet;

/// Names that a document defines and that its other sections may reference.
struct Defined<'a> {
    zones: BTreeSet<&'a str>,
    models: BTreeSet<&'a str>,
    applications: BTreeSet<&'a str>,
}

/// Adds every inconsistency outside the release note.
pub(super) fn check(fleet: &Fleet, problems: &mut Collector) {
    let defined = Defined {
        zones: fleet.zones.iter().map(|zone| zone.id.as_str()).collect(),
        models: fleet.models.iter().map(|model| model.id.as_str()).collect(),
        applications: fleet.applications.iter().map(|app| app.id.as_str()).collect(),
    };
    // Revision 0 means "no configuration" in the control protocol.
    problems.require(fleet.revision > 0, "revision", ProblemKind::Zero, fleet.revision);
    check_zones(fleet, problems);
    check_models(fleet, problems);
    for (index, target) in fleet.targets.iter().enumerate() {
        check_target(&format!("targets[{index}]"), target, &defined, problems);
    }
    for (index, entry) in fleet.entries.iter().enumerate() {
        check_entry(&format!("entries[{index}]"), entry, &defined, problems);
    }
    for (index, team) in fleet.teams.iter().enumerate() {
        check_team(&format!("teams[{index}]"), team, &defined, problems);
    }
    for (index, application) in fleet.applications.iter().enumerate() {
        check_application(&format!("applications[{index}]"), application, problems);
    }
    check_bounds(&fleet.bounds, problems);
    check_policy(&fleet.policy, problems);
}

fn check_zones(fleet: &Fleet, problems: &mut Collector) {
    for (index, zone) in fleet.zones.iter().enumerate() {
        let path = format!("zones[{index}].id");
        problems.require_name(&path, &zone.id);
        problems.require_unique("zone", path, &zone.id);
    }
}

fn check_models(fleet: &Fleet, problems: &mut Collector) {
    for (index, model) in fleet.models.iter().enumerate() {
        let path = format!("models[{index}]");
        problems.require_name(format!("{path}.id"), &model.id);
        problems.require_unique("model", format!("{path}.id"), &model.id);
        let path = format!("{path}.max_tokens");
        problems.require(model.max_tokens > 0, path, ProblemKind::Zero, model.max_tokens);
    }
}

fn check_target(path: &str, target: &Target, defined: &Defined, problems: &mut Collector) {
    let id = format!("{path}.id");
    problems.require_name(&id, &target.id);
    problems.require_unique("target", id, &target.id);
    problems.require_unique("address", format!("{path}.work"), &target.work.to_string());
    problems.require_unique("address", format!("{path}.control"), &target.control.to_string());
    check_zone(path, &target.zone, defined, problems);
    problems.require_references(&format!("{path}.models"), &target.models, &defined.models);
    if let Some(application) = &target.application {
        let known = defined.applications.contains(application.as_str());
        let path = format!("{path}.application");
        problems.require(known, path, ProblemKind::Undefined, application);
    }
    check_kind(path, target, problems);
}

fn check_kind(path: &str, target: &Target, problems: &mut Collector) {
    let has_models = !target.models.is_empty();
    let has_application = target.application.is_some();
    let (models_valid, application_valid, models_problem, application_problem) = match target.kind {
        TargetKind::Engine => (
            has_models,
            !has_application,
            ProblemKind::EngineWithoutModels,
            ProblemKind::EngineWithApplication,
        ),
        TargetKind::Application => (
            !has_models,
            has_application,
            ProblemKind::WorkerWithModels,
            ProblemKind::WorkerWithoutApplication,
        ),
    };
    problems.require(models_valid, format!("{path}.models"), models_problem, &target.id);
    problems.require(
        application_valid,
        format!("{path}.application"),
        application_problem,
        &target.id,
    );
}

fn check_zone(path: &str, zone: &str, defined: &Defined, problems: &mut Collector) {
    let known = defined.zones.contains(zone);
    problems.require(known, format!("{path}.zone"), ProblemKind::Undefined, zone);
}

fn check_entry(path: &str, entry: &Entry, defined: &Defined, problems: &mut Collector) {
    let id = format!("{path}.id");
    problems.require_name(&id, &entry.id);
    problems.require_unique("entry", id, &entry.id);
    problems.require_unique("address", format!("{path}.control"), &entry.control.to_string());
    check_zone(path, &entry.zone, defined, problems);
}

fn check_team(path: &str, team: &Team, defined: &Defined, problems: &mut Collector) {
    let id = format!("{path}.id");
    problems.require_name(&id, &team.id);
    problems.require_unique("team", id, &team.id);
    let token = format!("{path}.token_sha256");
    problems.require(
        is_sha256_hex(&team.token_sha256),
        &token,
        ProblemKind::InvalidDigest,
        &team.token_sha256,
    );
    problems.require_unique("token", token, &team.token_sha256);
    problems.require_references(&format!("{path}.models"), &team.models, &defined.models);
    problems.require_references(
        &format!("{path}.applications"),
        &team.applications,
        &defined.applications,
    );
    let rate = format!("{path}.tokens_per_second");
    problems.require(team.tokens_per_second > 0, rate, ProblemKind::Zero, team.tokens_per_second);
    let burst = format!("{path}.burst_tokens");
    problems.require(team.burst_tokens > 0, burst, ProblemKind::Zero, team.burst_tokens);
}

/// Returns whether `text` is a digest as `sha256_hex` writes it.
///
/// Digests are compared as text, so uppercase digits are invalid.
fn is_sha256_hex(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(digit)
}

fn check_application(path: &str, application: &Application, problems: &mut Collector) {
    let id = format!("{path}.id");
    problems.require_name(&id, &application.id);
    problems.require_unique("application", id, &application.id);
    let mut seen = BTreeSet::new();
    for (index, route) in application.routes.iter().enumerate() {
        let path = format!("{path}.routes[{index}]");
        check_route(&path, route, problems);
        let new = seen.insert((&route.method, &route.path));
        problems.require(new, path, ProblemKind::Duplicate, &route.path);
    }
}

fn check_route(path: &str, route: &Route, problems: &mut Collector) {
    let upper = route.method.bytes().all(|byte| byte.is_ascii_uppercase());
    let method = !route.method.is_empty() && upper;
    problems.require(method, format!("{path}.method"), ProblemKind::InvalidRoute, &route.method);
    let leading = route.path.starts_with('/');
    problems.require(leading, format!("{path}.path"), ProblemKind::InvalidRoute, &route.path);
}

fn check_bounds(bounds: &Bounds, problems: &mut Collector) {
    let (min, default, max) =
        (bounds.min_deadline_ms, bounds.default_deadline_ms, bounds.max_deadline_ms);
    let contradict = ProblemKind::BoundsContradict;
    problems.require(min > 0, "bounds.min_deadline_ms", ProblemKind::Zero, min);
    problems.require(min <= max, "bounds.min_deadline_ms", contradict, min);
    problems.require(
        min <= default && default <= max,
        "bounds.default_deadline_ms",
        contradict,
        default,
    );
    problems.require(bounds.max_body > 0, "bounds.max_body", ProblemKind::Zero, bounds.max_body);
}

fn check_policy(policy: &Policy, problems: &mut Collector) {
    let shares =
        [("policy.long_share", policy.long_share), ("policy.zone_reserve", policy.zone_reserve)];
    for (path, share) in shares {
        problems.require((0.0..=1.0).contains(&share), path, ProblemKind::NotAShare, share);
    }
}
