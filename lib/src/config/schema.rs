//! Schema of the document as data. It must match the types in `document.rs` and
//! `release/note.rs`.

use super::shape::{Field, Shape};

const STRINGS: Shape = Shape::List(&Shape::String);
const UNSIGNED: Shape = Shape::Integer(u64::MAX);
const ACTION: Shape = Shape::OneOf(&["added", "changed", "withdrawn"]);

const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, required: true, shape }
}

const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}

/// Schema of a document.
pub(super) static FLEET: Shape = Shape::Object(&[
    required("revision", UNSIGNED),
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

/// Schema of a release note.
pub(super) static RELEASE: Shape = Shape::Object(&[
    required("number", UNSIGNED),
    required("max_unavailable", Shape::Integer(u32::MAX as u64)),
    optional("stagger_ms", UNSIGNED),
    optional("models", Shape::List(&MODEL_CHANGE)),
    optional("adapters", Shape::List(&ADAPTER_CHANGE)),
    optional("targets", Shape::List(&TARGET_CHANGE)),
    optional("zones", Shape::List(&ZONE_CHANGE)),
]);

static ZONE: Shape =
    Shape::Object(&[required("id", Shape::String), optional("in_service", Shape::Boolean)]);

static MODEL: Shape =
    Shape::Object(&[required("id", Shape::String), required("max_tokens", UNSIGNED)]);

static TARGET: Shape = Shape::Object(&[
    required("id", Shape::String),
    required("zone", Shape::String),
    required("kind", Shape::OneOf(&["engine", "application"])),
    required("work", Shape::Address),
    required("control", Shape::Address),
    optional("models", STRINGS),
    optional("application", Shape::Nullable(&Shape::String)),
    optional("departing", Shape::Boolean),
]);

static ENTRY: Shape = Shape::Object(&[
    required("id", Shape::String),
    required("zone", Shape::String),
    required("control", Shape::Address),
]);

static TEAM: Shape = Shape::Object(&[
    required("id", Shape::String),
    required("token_sha256", Shape::String),
    optional("models", STRINGS),
    optional("applications", STRINGS),
    optional("priority", Shape::Integer(u8::MAX as u64)),
    required("tokens_per_second", UNSIGNED),
    required("burst_tokens", UNSIGNED),
]);

static APPLICATION: Shape =
    Shape::Object(&[required("id", Shape::String), required("routes", Shape::List(&ROUTE))]);

static ROUTE: Shape = Shape::Object(&[
    required("method", Shape::String),
    required("path", Shape::String),
    required("repeatable", Shape::Boolean),
]);

const BOUNDS: Shape = Shape::Object(&[
    optional("min_deadline_ms", UNSIGNED),
    optional("default_deadline_ms", UNSIGNED),
    optional("max_deadline_ms", UNSIGNED),
    optional("max_body", UNSIGNED),
]);

const POLICY: Shape = Shape::Object(&[
    optional("long_share", Shape::Number),
    optional("zone_reserve", Shape::Number),
]);

static MODEL_CHANGE: Shape = Shape::Object(&[
    required("action", ACTION),
    required("model", Shape::String),
    optional("version", Shape::Nullable(&Shape::String)),
    optional("targets", STRINGS),
]);

static ADAPTER_CHANGE: Shape = Shape::Object(&[
    required("action", ACTION),
    required("model", Shape::String),
    required("adapter", Shape::String),
]);

static TARGET_CHANGE: Shape = Shape::Object(&[
    required("action", ACTION),
    required("target", Shape::String),
    optional("role", Shape::Nullable(&Shape::String)),
]);

static ZONE_CHANGE: Shape =
    Shape::Object(&[required("action", ACTION), required("zone", Shape::String)]);
