//! Checks of a release note, by itself and against the rest of the document.

use super::collector::Collector;
use crate::{
    config::{Fleet, ProblemKind, TargetKind},
    release::{Action, ModelChange, ReleaseNote},
};
use std::collections::BTreeSet;

/// Adds every inconsistency within the note.
///
/// `prefix` is the path of the note with a trailing dot, or empty for a note without a document.
pub(super) fn check_note(note: &ReleaseNote, prefix: &str, problems: &mut Collector) {
    problems.require(note.number > 0, format!("{prefix}number"), ProblemKind::Zero, note.number);
    let max = note.max_unavailable;
    problems.require(max > 0, format!("{prefix}max_unavailable"), ProblemKind::Zero, max);
    let mut assigned = BTreeSet::new();
    for (index, change) in note.models.iter().enumerate() {
        check_model(&format!("{prefix}models[{index}]"), change, &mut assigned, problems);
    }
    for (index, change) in note.adapters.iter().enumerate() {
        let path = format!("{prefix}adapters[{index}].adapter");
        problems.require_name(&path, &change.adapter);
        let pair = format!("{}/{}", change.model, change.adapter);
        problems.require_unique("changed adapter", path, &pair);
    }
    for (index, change) in note.targets.iter().enumerate() {
        let path = format!("{prefix}targets[{index}]");
        problems.require_unique("changed target", format!("{path}.target"), &change.target);
        if let Some(role) = &change.role {
            problems.require_name(format!("{path}.role"), role);
            let kept = change.action != Action::Withdrawn;
            problems.require(kept, format!("{path}.role"), ProblemKind::NotForWithdrawn, role);
        }
    }
    for (index, change) in note.zones.iter().enumerate() {
        problems.require_unique(
            "changed zone",
            format!("{prefix}zones[{index}].zone"),
            &change.zone,
        );
    }
}

fn check_model<'a>(
    path: &str,
    change: &'a ModelChange,
    assigned: &mut BTreeSet<(&'a str, Option<&'a str>)>,
    problems: &mut Collector,
) {
    let version = format!("{path}.version");
    match (&change.version, change.action) {
        (None, Action::Withdrawn) => {}
        (None, _) => problems.add(version, ProblemKind::MissingVersion, "nothing"),
        (Some(text), Action::Withdrawn) => {
            problems.add(version, ProblemKind::NotForWithdrawn, text)
        }
        (Some(text), _) => {
            problems.require(!text.is_empty(), version, ProblemKind::InvalidName, text)
        }
    }
    // A change for specific targets and one for all targets would give a target two versions.
    let model = change.model.as_str();
    let conflicts = |target: Option<&'a str>| match target {
        None => assigned.iter().any(|(known, _)| *known == model),
        some => assigned.contains(&(model, None)) || assigned.contains(&(model, some)),
    };
    let targets: Vec<Option<&str>> = match change.targets.is_empty() {
        true => vec![None],
        false => change.targets.iter().map(|target| Some(target.as_str())).collect(),
    };
    let conflict = targets.iter().any(|target| conflicts(*target));
    problems.require(!conflict, format!("{path}.model"), ProblemKind::Duplicate, model);
    assigned.extend(targets.into_iter().map(|target| (model, target)));
}

/// Adds every inconsistency between the note and the rest of the document.
pub(super) fn check_references(note: &ReleaseNote, fleet: &Fleet, problems: &mut Collector) {
    check_models(note, fleet, problems);
    for (index, change) in note.adapters.iter().enumerate() {
        let path = format!("release.adapters[{index}].model");
        require_model(fleet, &change.model, path, problems);
    }
    for (index, change) in note.targets.iter().enumerate() {
        let target = fleet.target(&change.target);
        let in_service = target.map(|target| !target.departing);
        let worker = target.is_some_and(|target| target.kind == TargetKind::Application);
        if let (true, Some(role)) = (worker, &change.role) {
            problems.add(format!("release.targets[{index}].role"), ProblemKind::RoleOfWorker, role);
        }
        let path = format!("release.targets[{index}].target");
        check_action(change.action, in_service, path, &change.target, problems);
    }
    for (index, change) in note.zones.iter().enumerate() {
        let zone = fleet.zones.iter().find(|zone| zone.id == change.zone);
        let path = format!("release.zones[{index}].zone");
        check_action(change.action, zone.map(|zone| zone.in_service), path, &change.zone, problems);
    }
}

fn check_models(note: &ReleaseNote, fleet: &Fleet, problems: &mut Collector) {
    for (index, change) in note.models.iter().enumerate() {
        let path = format!("release.models[{index}]");
        require_model(fleet, &change.model, format!("{path}.model"), problems);
        let model_targets: BTreeSet<&str> = fleet
            .targets
            .iter()
            .filter(|target| target.models.contains(&change.model))
            .map(|target| target.id.as_str())
            .collect();
        problems.require_references(&format!("{path}.targets"), &change.targets, &model_targets);
        let used_by_team = fleet.teams.iter().any(|team| team.models.contains(&change.model));
        let withdrawn_everywhere = change.action == Action::Withdrawn && change.targets.is_empty();
        let path = format!("{path}.model");
        problems.require(
            !(withdrawn_everywhere && used_by_team),
            path,
            ProblemKind::StillInService,
            &change.model,
        );
    }
}

fn require_model(fleet: &Fleet, model: &str, path: String, problems: &mut Collector) {
    let defined = fleet.models.iter().any(|known| known.id == model);
    problems.require(defined, path, ProblemKind::Undefined, model);
}

/// Requires that the action on a target or zone is consistent with its state in the document.
///
/// `in_service` is `None` if the document does not contain it. A target counts as in service unless
/// it is departing, even if its zone is out of service.
fn check_action(
    action: Action,
    in_service: Option<bool>,
    path: String,
    name: &str,
    problems: &mut Collector,
) {
    match (action, in_service) {
        (Action::Withdrawn, Some(true)) => problems.add(path, ProblemKind::StillInService, name),
        (Action::Added | Action::Changed, None) => problems.add(path, ProblemKind::Undefined, name),
        (Action::Added, Some(false)) => problems.add(path, ProblemKind::NotInService, name),
        _ => {}
    }
}
