//! The schema of the document as data; `document.rs` and `release/note.rs` hold its types.

use super::shape::{Field, Shape};

const TEXTS: Shape = Shape::List(&Shape::Text);
const COUNT: Shape = Shape::Number(u64::MAX);
const ACTION: Shape = Shape::Option(&["added", "changed", "withdrawn"]);

const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, required: true, shape }
}

const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}

/// The whole document.
pub(super) static FLEET: Shape = Shape::Object(&[
    required("revision", COUNT),
    required("zones", Shape::List(&ZONE)),
    required("models", Shape::List(&MODEL)),
    required("targets", Shape::List(&TARGET)),
    required("entries", Shape::List(&ENTRY)),
    required("teams", Shape::List(&TEAM)),
    optional("applications", Shape::List(&APPLICATION)),
    optional("bounds", BOUNDS),
    optional("policy", POLICY),
    optional("release", Shape::Nullable(&RELEASE)),
]);

/// The release note alone.
pub(super) static RELEASE: Shape = Shape::Object(&[
    required("number", COUNT),
    required("max_unavailable", Shape::Number(u32::MAX as u64)),
    optional("stagger_ms", COUNT),
    optional("models", Shape::List(&MODEL_CHANGE)),
    optional("adapters", Shape::List(&ADAPTER_CHANGE)),
    optional("targets", Shape::List(&TARGET_CHANGE)),
    optional("zones", Shape::List(&ZONE_CHANGE)),
]);

static ZONE: Shape =
    Shape::Object(&[required("id", Shape::Text), optional("in_service", Shape::Flag)]);

static MODEL: Shape = Shape::Object(&[required("id", Shape::Text), required("max_tokens", COUNT)]);

static TARGET: Shape = Shape::Object(&[
    required("id", Shape::Text),
    required("zone", Shape::Text),
    required("kind", Shape::Option(&["engine", "application"])),
    required("work", Shape::Address),
    required("control", Shape::Address),
    optional("models", TEXTS),
    optional("application", Shape::Nullable(&Shape::Text)),
    optional("departing", Shape::Flag),
]);

static ENTRY: Shape = Shape::Object(&[
    required("id", Shape::Text),
    required("zone", Shape::Text),
    required("control", Shape::Address),
]);

static TEAM: Shape = Shape::Object(&[
    required("id", Shape::Text),
    required("token_sha256", Shape::Text),
    optional("models", TEXTS),
    optional("applications", TEXTS),
    optional("priority", Shape::Number(u8::MAX as u64)),
    required("tokens_per_second", COUNT),
    required("burst_tokens", COUNT),
]);

static APPLICATION: Shape =
    Shape::Object(&[required("id", Shape::Text), required("routes", Shape::List(&ROUTE))]);

static ROUTE: Shape = Shape::Object(&[
    required("method", Shape::Text),
    required("path", Shape::Text),
    required("repeatable", Shape::Flag),
]);

const BOUNDS: Shape = Shape::Object(&[
    optional("min_deadline_ms", COUNT),
    optional("default_deadline_ms", COUNT),
    optional("max_deadline_ms", COUNT),
    optional("max_body", COUNT),
]);

const POLICY: Shape =
    Shape::Object(&[optional("long_share", Shape::Real), optional("zone_reserve", Shape::Real)]);

static MODEL_CHANGE: Shape = Shape::Object(&[
    required("action", ACTION),
    required("model", Shape::Text),
    optional("version", Shape::Nullable(&Shape::Text)),
    optional("targets", TEXTS),
]);

static ADAPTER_CHANGE: Shape = Shape::Object(&[
    required("action", ACTION),
    required("model", Shape::Text),
    required("adapter", Shape::Text),
]);

static TARGET_CHANGE: Shape = Shape::Object(&[
    required("action", ACTION),
    required("target", Shape::Text),
    optional("role", Shape::Nullable(&Shape::Text)),
]);

static ZONE_CHANGE: Shape =
    Shape::Object(&[required("action", ACTION), required("zone", Shape::Text)]);
