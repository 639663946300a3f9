//! Entries of a document that can never match a request.

use super::finding::{Finding, FindingKind};
use crate::config::{Application, Fleet, Route};
use std::collections::BTreeSet;

/// Returns the models, applications, targets, teams and routes that no request can use.
pub(super) fn findings(fleet: &Fleet) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_models(fleet, &mut findings);
    check_targets(fleet, &mut findings);
    check_teams(fleet, &mut findings);
    for (index, application) in fleet.applications.iter().enumerate() {
        check_application(index, application, fleet, &mut findings);
    }
    findings
}

fn check_models(fleet: &Fleet, findings: &mut Vec<Finding>) {
    let in_service = fleet.targets.iter().filter(|target| fleet.in_service(target));
    let served: BTreeSet<&String> = in_service.flat_map(|target| &target.models).collect();
    for (index, model) in fleet.models.iter().enumerate() {
        if !served.contains(&model.id) {
            let (path, kind) = (format!("models[{index}]"), FindingKind::ModelWithoutTargets);
            findings.push(Finding::new(path, kind, &model.id));
        }
    }
}

fn check_targets(fleet: &Fleet, findings: &mut Vec<Finding>) {
    let models: BTreeSet<&String> = fleet.teams.iter().flat_map(|team| &team.models).collect();
    let applications = fleet.teams.iter().flat_map(|team| &team.applications);
    let applications: BTreeSet<&String> = applications.collect();
    for (index, target) in fleet.targets.iter().enumerate() {
        let mut served = target.models.iter();
        let used = served.any(|model| models.contains(model))
            || target.application.iter().any(|application| applications.contains(application));
        if !used {
            let (path, kind) = (format!("targets[{index}]"), FindingKind::TargetWithoutTeams);
            findings.push(Finding::new(path, kind, &target.id));
        }
    }
}

fn check_teams(fleet: &Fleet, findings: &mut Vec<Finding>) {
    for (index, team) in fleet.teams.iter().enumerate() {
        if team.models.is_empty() && team.applications.is_empty() {
            let (path, kind) = (format!("teams[{index}].models"), FindingKind::TeamWithoutModels);
            findings.push(Finding::new(path, kind, &team.id));
        }
    }
}

fn check_application(
    index: usize,
    application: &Application,
    fleet: &Fleet,
    findings: &mut Vec<Finding>,
) {
    let in_service = fleet.targets.iter().filter(|target| fleet.in_service(target));
    let mut served = in_service.filter_map(|target| target.application.as_ref());
    if !served.any(|served| *served == application.id) {
        let (path, kind) =
            (format!("applications[{index}]"), FindingKind::ApplicationWithoutTargets);
        findings.push(Finding::new(path, kind, &application.id));
    }
    for (number, route) in application.routes.iter().enumerate() {
        let path = format!("applications[{index}].routes[{number}]");
        let kind = if route.path.contains(['?', '#']) {
            FindingKind::RouteNeverMatches
        } else if next_shorter(application, route)
            .is_some_and(|shorter| shorter.repeatable == route.repeatable)
        {
            FindingKind::RouteWithoutEffect
        } else {
            continue;
        };
        findings.push(Finding::new(path, kind, format!("{} {}", route.method, route.path)));
    }
}

/// Returns the route that would apply to the path of `route` if `route` did not exist.
fn next_shorter<'a>(application: &'a Application, route: &Route) -> Option<&'a Route> {
    let shorter = application.routes.iter().filter(|other| {
        other.method == route.method
            && other.path.len() < route.path.len()
            && route.path.starts_with(&other.path)
    });
    shorter.max_by_key(|other| other.path.len())
}
