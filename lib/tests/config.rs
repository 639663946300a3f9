//! Tests of the validation of configuration documents and the order of revisions.

use fulmarhead_lib::config::{
    ActiveConfig, Adoption, Bundle, ConfigError, Problem, ProblemKind, parse, parse_note,
};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use strum::IntoEnumIterator;
use testutils::cases;

/// Seeds of the randomized tests. A failure prints its seed.
const SEEDS: std::ops::Range<u64> = 0..40;

fn document() -> Value {
    json!({
        "revision": 7,
        "zones": [{ "id": "qc-est-a" }, { "id": "qc-est-b", "in_service": false }],
        "models": [{ "id": "assistant", "max_tokens": 1000 }],
        "targets": [
            { "id": "e1", "zone": "qc-est-a", "kind": "engine", "models": ["assistant"],
              "work": "10.0.0.1:1", "control": "10.0.0.1:2" },
            { "id": "w1", "zone": "qc-est-a", "kind": "application", "application": "comptoir",
              "work": "10.0.0.2:1", "control": "10.0.0.2:2", "departing": true },
        ],
        "entries": [{ "id": "n1", "zone": "qc-est-a", "control": "10.0.0.3:2" }],
        "teams": [{ "id": "clubs", "token_sha256": "ab".repeat(32), "models": ["assistant"],
            "applications": ["comptoir"], "priority": 1, "tokens_per_second": 5,
            "burst_tokens": 9 }],
        "applications": [{ "id": "comptoir",
            "routes": [{ "method": "POST", "path": "/bookings", "repeatable": false }] }],
        "bounds": { "min_deadline_ms": 1, "default_deadline_ms": 2, "max_deadline_ms": 3,
            "max_body": 4 },
        "policy": { "long_share": 0.5, "zone_reserve": 0 },
        "release": { "number": 3, "max_unavailable": 1, "stagger_ms": 10,
            "models": [{ "action": "changed", "model": "assistant", "version": "2",
                "targets": ["e1"] }],
            "adapters": [{ "action": "added", "model": "assistant", "adapter": "fr" }],
            "targets": [{ "action": "changed", "target": "e1", "role": "decode" },
                { "action": "withdrawn", "target": "w1" }],
            "zones": [{ "action": "withdrawn", "zone": "qc-est-b" }] },
    })
}

fn problems(error: ConfigError) -> Vec<Problem> {
    match error {
        ConfigError::Invalid(problems) => problems,
        other => panic!("expected a list of problems, not {other:?}"),
    }
}

/// Checks the problems of the document after `edits`, each of which sets the value at a JSON
/// pointer.
fn check_problems(edits: &[(&str, Value)], expected: &[(&str, ProblemKind)]) {
    let mut document = document();
    for (pointer, value) in edits {
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        match document.pointer_mut(parent).unwrap() {
            Value::Object(object) => drop(object.insert(name.to_owned(), value.clone())),
            Value::Array(items) if name == "-" => items.push(value.clone()),
            parent => parent[name.parse::<usize>().unwrap()] = value.clone(),
        }
    }
    let found = match parse(&document.to_string()) {
        Ok(_) => Vec::new(),
        Err(error) => problems(error),
    };
    let found: BTreeSet<_> = found.iter().map(|p| (p.path.as_str(), p.kind)).collect();
    assert_eq!(found, expected.iter().copied().collect());
}

use ProblemKind as P;

cases! {
    check_problems {
        /// Guards against a schema that rejects a field of the document types.
        every_field_is_accepted: (&[], &[]),
        /// Guards against a parser that stops at its first error.
        all_differences_from_the_schema_are_listed: (
            &[
                ("/zone", json!([])), ("/targets/0/modles", json!([])), ("/revision", json!(-1)),
                ("/targets/1/kind", json!("worker")), ("/targets/1/work", json!("10.0.0.2")),
                ("/teams/0/priority", json!(256)), ("/entries/0", json!({ "id": 3 })),
                ("/zones/0/in_service", json!("yes")), ("/applications/0/routes", json!({})),
                ("/policy", json!(1)), ("/policy", json!({ "long_share": "half" })),
            ],
            &[
                ("zone", P::UnknownField), ("targets[0].modles", P::UnknownField),
                ("revision", P::NotANumber), ("targets[1].kind", P::NotAnOption),
                ("targets[1].work", P::NotAnAddress), ("teams[0].priority", P::NotANumber),
                ("entries[0].id", P::NotAText), ("entries[0].zone", P::MissingField),
                ("entries[0].control", P::MissingField), ("zones[0].in_service", P::NotAFlag),
                ("applications[0].routes", P::NotAList), ("policy.long_share", P::NotAShare),
            ],
        ),
        duplicate_names_addresses_and_routes: (
            &[
                ("/zones/1/id", json!("qc-est-a")), ("/targets/1/id", json!("e1")),
                ("/models/-", json!({ "id": "assistant", "max_tokens": 1 })),
                ("/entries/0/control", json!("10.0.0.1:1")),
                ("/targets/0/models", json!(["assistant", "assistant"])),
                ("/teams/-", document()["teams"][0].clone()),
                ("/applications/-", document()["applications"][0].clone()),
                ("/applications/0/routes/-", document()["applications"][0]["routes"][0].clone()),
                ("/release", json!(null)),
            ],
            &[
                ("zones[1].id", P::Duplicate), ("targets[1].id", P::Duplicate),
                ("models[1].id", P::Duplicate), ("entries[0].control", P::Duplicate),
                ("targets[0].models[1]", P::Duplicate), ("teams[1].id", P::Duplicate),
                ("teams[1].token_sha256", P::Duplicate), ("applications[1].id", P::Duplicate),
                ("applications[0].routes[1]", P::Duplicate),
            ],
        ),
        names_that_are_not_defined: (
            &[
                ("/targets/0/zone", json!("za")), ("/targets/0/models", json!(["m"])),
                ("/targets/1/application", json!("a")), ("/teams/0/models/0", json!("m")),
                ("/teams/0/applications/0", json!("a")), ("/entries/0/zone", json!("")),
                ("/release", json!(null)),
            ],
            &[
                ("targets[0].zone", P::Undefined), ("targets[0].models[0]", P::Undefined),
                ("targets[1].application", P::Undefined), ("teams[0].models[0]", P::Undefined),
                ("teams[0].applications[0]", P::Undefined), ("entries[0].zone", P::Undefined),
            ],
        ),
        /// Guards against names that make the idempotency keys of a target impossible to parse.
        names_that_are_invalid_in_keys: (
            &[
                ("/targets/1/id", json!("w.1")), ("/teams/0/id", json!("")),
                ("/entries/0/id", json!("n".repeat(65))), ("/release/targets/1/target", json!("w.1")),
            ],
            &[
                ("targets[1].id", P::InvalidName), ("teams[0].id", P::InvalidName),
                ("entries[0].id", P::InvalidName),
            ],
        ),
        /// Guards against a digest that never matches because digests are compared as text, and
        /// against a route that never matches because of its case or a missing slash.
        invalid_digests_and_routes: (
            &[
                ("/teams/0/token_sha256", json!("AB".repeat(32))),
                ("/applications/0/routes/0", json!({ "method": "post", "path": "x", "repeatable": true })),
            ],
            &[
                ("teams[0].token_sha256", P::InvalidDigest),
                ("applications[0].routes[0].method", P::InvalidRoute),
                ("applications[0].routes[0].path", P::InvalidRoute),
            ],
        ),
        numbers_out_of_range: (
            &[
                ("/revision", json!(0)), ("/models/0/max_tokens", json!(0)),
                ("/bounds", json!({ "min_deadline_ms": 9, "default_deadline_ms": 5, "max_deadline_ms": 8, "max_body": 0 })),
                ("/policy", json!({ "long_share": 1.1, "zone_reserve": -0.1 })),
                ("/teams/0/tokens_per_second", json!(0)), ("/teams/0/burst_tokens", json!(0)),
            ],
            &[
                ("revision", P::Zero), ("models[0].max_tokens", P::Zero),
                ("bounds.min_deadline_ms", P::BoundsContradict),
                ("bounds.default_deadline_ms", P::BoundsContradict), ("bounds.max_body", P::Zero),
                ("policy.long_share", P::NotAShare), ("policy.zone_reserve", P::NotAShare),
                ("teams[0].tokens_per_second", P::Zero), ("teams[0].burst_tokens", P::Zero),
            ],
        ),
        models_or_application_contradict_target_kind: (
            &[
                ("/targets/0/models", json!([])), ("/targets/0/application", json!("comptoir")),
                ("/targets/1/models", json!(["assistant"])), ("/targets/1/application", json!(null)),
                ("/release", json!(null)),
            ],
            &[
                ("targets[0].models", P::EngineWithoutModels),
                ("targets[0].application", P::EngineWithApplication),
                ("targets[1].models", P::WorkerWithModels),
                ("targets[1].application", P::WorkerWithoutApplication),
            ],
        ),
        inconsistent_release_note: (
            &[
                ("/release/number", json!(0)), ("/release/max_unavailable", json!(0)),
                ("/release/models/0/version", json!(null)),
                ("/release/models/-", json!({ "action": "changed", "model": "assistant", "version": "3" })),
                ("/release/adapters/-", document()["release"]["adapters"][0].clone()),
                ("/release/targets/1/role", json!("decode")),
            ],
            &[
                ("release.number", P::Zero), ("release.max_unavailable", P::Zero),
                ("release.models[0].version", P::MissingVersion),
                ("release.models[1].model", P::Duplicate),
                ("release.adapters[1].adapter", P::Duplicate),
                ("release.targets[1].role", P::NotForWithdrawn),
                ("release.targets[1].role", P::RoleOfWorker),
            ],
        ),
        /// Guards against a note that conflicts with the document, which no agent could roll out.
        release_note_against_document: (
            &[
                ("/release/models/0", json!({ "action": "withdrawn", "model": "assistant" })),
                ("/release/adapters/0/model", json!("m")),
                ("/release/targets/0/action", json!("withdrawn")),
                ("/release/targets/0/role", json!(null)),
                ("/release/targets/1/action", json!("added")),
                ("/release/zones/0/zone", json!("qc-est-a")),
                ("/release/zones/-", json!({ "action": "added", "zone": "qc" })),
            ],
            &[
                ("release.models[0].model", P::StillInService),
                ("release.adapters[0].model", P::Undefined),
                ("release.targets[0].target", P::StillInService),
                ("release.targets[1].target", P::NotInService),
                ("release.zones[0].zone", P::StillInService), ("release.zones[1].zone", P::Undefined),
            ],
        ),
    }
}

fn bundle(revision: u64, text: String) -> Bundle {
    Bundle { revision, text: text.into() }
}

/// Guards against a document published under a revision other than its own. Processes with the same
/// document would disagree on which revision is newer.
#[test]
fn published_revision_must_match_document() {
    let mut active = ActiveConfig::default();
    let found = problems(active.offer(bundle(8, document().to_string())).unwrap_err());
    assert_eq!(
        found,
        [Problem { path: "revision".into(), kind: P::RevisionMismatch, found: "7".into() }]
    );
    assert_eq!(active.revision(), 0);
}

/// Guards against two kinds of problems with the same hint.
#[test]
fn every_problem_kind_has_its_own_hint() {
    let hints: BTreeSet<_> = ProblemKind::iter().map(ProblemKind::hint).collect();
    assert_eq!(hints.len(), ProblemKind::iter().count());
}

/// Replaces values and duplicates list items of the document at random.
fn corrupt(value: &mut Value, g: &mut Gen) {
    let invalid =
        [json!(null), json!(-1), json!(1e300), json!("\u{0}"), json!([[]]), json!({ "id": {} })];
    if u8::arbitrary(g).is_multiple_of(24) {
        *value = g.choose(&invalid).unwrap().clone();
    }
    match value {
        Value::Array(items) => {
            if bool::arbitrary(g) && u8::arbitrary(g).is_multiple_of(8) && !items.is_empty() {
                items.push(items[0].clone());
            }
            items.iter_mut().for_each(|item| corrupt(item, g));
        }
        Value::Object(object) => object.values_mut().for_each(|item| corrupt(item, g)),
        _ => {}
    }
}

/// Guards against a malformed document that makes a process panic, with 4,000 corrupted documents.
#[test]
fn malformed_documents_are_rejected_without_panic() {
    let mut rejected = 0;
    for seed in SEEDS {
        let mut g = Gen::from_size_and_seed(30, seed);
        for index in 0..100 {
            let mut value = document();
            corrupt(&mut value, &mut g);
            let mut bytes = value.to_string().into_bytes();
            if bool::arbitrary(&mut g) {
                let at = usize::arbitrary(&mut g) % bytes.len();
                bytes[at] = u8::arbitrary(&mut g);
            }
            let text = String::from_utf8_lossy(&bytes);
            let result =
                std::panic::catch_unwind(|| (parse(&text).is_err(), parse_note(&text).is_err()));
            let (document, note) =
                result.unwrap_or_else(|_| panic!("seed {seed}, input {index}: {text}"));
            rejected += usize::from(document) + usize::from(note);
        }
    }
    assert!(rejected > 4_000, "only {rejected} of 8,000 parses (document and note) failed");
}

/// Guards against a decreasing revision, for any order of valid and corrupted documents.
#[test]
fn active_revision_never_decreases() {
    let mut adoptions = 0;
    for seed in SEEDS {
        let mut g = Gen::from_size_and_seed(30, seed);
        let mut active = ActiveConfig::default();
        for step in 0..100 {
            let revision = u64::arbitrary(&mut g) % 20;
            let mut text = document();
            text["revision"] = json!(if bool::arbitrary(&mut g) { revision } else { revision + 1 });
            if u8::arbitrary(&mut g).is_multiple_of(4) {
                corrupt(&mut text, &mut g);
            }
            let (old_revision, old_document) = (active.revision(), active.bundle());
            let adopted = active.offer(bundle(revision, text.to_string())) == Ok(Adoption::Adopted);
            let new_revision = active.revision();
            assert!(
                new_revision >= old_revision,
                "seed {seed}, step {step}: the revision fell from {old_revision} to {new_revision}"
            );
            assert_eq!(
                adopted,
                new_revision > old_revision,
                "seed {seed}, step {step}: `adopted` must tell whether the revision rose from \
                 {old_revision} to {new_revision}"
            );
            assert!(
                adopted || active.bundle() == old_document,
                "seed {seed}, step {step}: a document that was not adopted replaced the active one"
            );
            adoptions += usize::from(adopted);
        }
    }
    assert!(adoptions > 100, "only {adoptions} offers were adopted");
}
