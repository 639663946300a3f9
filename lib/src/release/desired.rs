//! What a release note asks of one target.

use super::{
    note::{Action, ModelChange, ReleaseNote},
    order::{LoadedModel, Order},
};
use crate::config::Target;

/// Returns the orders that bring an engine to what `note` asks of `target`, in their order.
///
/// The note states what is to be, so that the orders follow from it and from what is loaded, and
/// an agent that has lost its state continues where the engine is. What the note does not mention
/// stays as it is.
pub fn orders(
    note: &ReleaseNote,
    target: &Target,
    loaded: &[LoadedModel],
    role: &str,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for change in note.models.iter().filter(|change| concerns(change, target)) {
        orders.extend(model_order(change, find(loaded, &change.model)));
    }
    for change in &note.adapters {
        let (model, adapter) = (change.model.clone(), change.adapter.clone());
        let Some(known) = find(loaded, &model) else { continue };
        let unloads = orders
            .iter()
            .any(|order| matches!(order, Order::UnloadModel { model: m } if *m == model));
        let present = known.adapters.contains(&adapter);
        match (change.action, present) {
            _ if unloads => {}
            (Action::Withdrawn, true) => orders.push(Order::UnloadAdapter { model, adapter }),
            (Action::Added | Action::Changed, false) => {
                orders.push(Order::LoadAdapter { model, adapter });
            }
            _ => {}
        }
    }
    let change = note.targets.iter().find(|change| change.target == target.id);
    if let Some(wanted) = change.and_then(|change| change.role.clone())
        && wanted != role
    {
        orders.push(Order::SetRole { role: wanted });
    }
    orders
}

fn concerns(change: &ModelChange, target: &Target) -> bool {
    let named = change.targets.is_empty() || change.targets.contains(&target.id);
    named && target.models.contains(&change.model)
}

fn model_order(change: &ModelChange, known: Option<&LoadedModel>) -> Option<Order> {
    let model = change.model.clone();
    match (&change.version, known) {
        (Some(version), known) if known.is_none_or(|known| known.version != *version) => {
            Some(Order::LoadModel { model, version: version.clone() })
        }
        (None, Some(_)) => Some(Order::UnloadModel { model }),
        _ => None,
    }
}

fn find<'a>(loaded: &'a [LoadedModel], model: &str) -> Option<&'a LoadedModel> {
    loaded.iter().find(|known| known.model == model)
}
