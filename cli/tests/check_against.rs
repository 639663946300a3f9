//! Tests of `fulmarhead check --against`.

use fulmarhead_lib::digest::sha256_hex;
use serde_json::Value;
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
};
use testutils::cases;

const ACTIVE: &str = include_str!("data/active.json");

fn run(arguments: &[&str]) -> Output {
    let data = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data");
    let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarhead"));
    command.arg("check").args(arguments).current_dir(data).output().unwrap()
}

fn lines(bytes: &[u8]) -> Vec<String> {
    String::from_utf8(bytes.to_vec()).unwrap().lines().map(str::to_owned).collect()
}

fn check_output(arguments: &[&str], code: i32, stdout: &[&str], stderr: &[&str]) {
    let output = run(arguments);
    assert_eq!(
        (output.status.code(), lines(&output.stdout), lines(&output.stderr)),
        (Some(code), owned(stdout), owned(stderr))
    );
}

fn owned(lines: &[&str]) -> Vec<String> {
    lines.iter().map(|line| (*line).to_owned()).collect()
}

cases! {
    check_output {
        /// Guards against differences that come from omitted defaults or the order of fields.
        same_document: (
            &["active.json", "--against", "active.json"], 0,
            &["accepted: configuration of revision 7", "no differences from revision 7"], &[],
        ),
        /// Guards against a changed item that shows as removed and added, and against token
        /// digests in the report.
        all_differences_are_listed: (
            &["proposal.json", "--against", "active.json"], 0,
            &[
                "accepted: configuration of revision 8",
                "differences from revision 7:",
                "  applications[desk].routes[DELETE /orders]: added",
                "  applications[desk].routes[POST /orders].repeatable: false -> true",
                "  bounds.max_body: 8388608 -> 4194304",
                "  entries[n2]: removed",
                "  targets[e2].departing: false -> true",
                "  targets[e3]: added",
                "  teams[t1].priority: 0 -> 1",
                "  teams[t1].token_sha256: changed",
            ],
            &[],
        ),
        /// Guards against settings without effect, and limits that contradict each other, that
        /// pass as a success.
        all_findings_are_listed: (
            &["findings.json", "--against", "findings.json"], 3,
            &[
                "accepted: configuration of revision 8",
                "models[1]: model_without_targets: draft",
                "  hint: list it at a target in service or remove it",
                "targets[2]: target_without_teams: e3",
                "  hint: let a team use what the target serves or remove the target",
                "teams[1].models: team_without_models: t2",
                "  hint: list models or applications or remove the team",
                "applications[0].routes[1]: route_without_effect: GET /stock/list",
                "  hint: remove the route or change `repeatable`",
                "applications[0].routes[3]: route_never_matches: POST /orders?all",
                "  hint: remove the query; only the path is compared",
                "applications[1]: application_without_targets: lost",
                "  hint: list it at a target in service or remove it",
                "teams[2].burst_tokens: burst_below_request: 3",
                "  hint: raise the burst; entries divide it among themselves",
                "teams[2].tokens_per_second: rate_below_entries: 1",
                "  hint: raise the rate; entries divide it among themselves",
                "models[1].max_tokens: body_below_prompt: 3000000",
                "  hint: raise bounds.max_body or lower max_tokens",
                "policy.zone_reserve: reserve_never_released: 0.5",
                "  hint: set the reserve to 0 or add a zone",
                "no differences from revision 8",
            ],
            &[],
        ),
        /// Guards against a valid document that no process would adopt.
        lower_revision_is_refused: (
            &["outdated.json", "--against", "active.json"], 1,
            &["no differences from revision 7"],
            &[
                "revision: not_higher: 6, and 7 is in force",
                "  hint: publish the document under a higher revision",
                "error: outdated.json: refused with 1 errors",
            ],
        ),
        /// Guards against two contents under one revision.
        other_content_under_the_same_revision_is_refused: (
            &["same_revision.json", "--against", "active.json"], 1,
            &["differences from revision 7:", "  policy.long_share: 0.5 -> 0.25"],
            &[
                "revision: not_higher: 7, and 7 is in force",
                "  hint: publish the document under a higher revision",
                "error: same_revision.json: refused with 1 errors",
            ],
        ),
        /// Guards against errors that a comparison hides.
        errors_are_listed: (
            &["contradictions.json", "--against", "active.json"], 1, &[],
            &[
                "targets[0].control: duplicate: 10.0.0.1:7400",
                "  hint: remove one of the two or give it another value",
                "targets[0].zone: undefined: za-south-b",
                "  hint: define the name in its list or correct it",
                "error: contradictions.json: refused with 2 errors",
            ],
        ),
        /// Guards against a missing comparison that passes as a success.
        unreadable_file_in_force: (
            &["active.json", "--against", "nowhere.json"], 1,
            &["accepted: configuration of revision 7"],
            &[
                "error: nowhere.json: No such file or directory (os error 2)",
                "  hint: give the path of a readable file",
            ],
        ),
        /// Guards against a comparison to a document that no process has adopted.
        invalid_document_in_force: (
            &["active.json", "--against", "unknown_field.json"], 1,
            &["accepted: configuration of revision 7"],
            &[
                "error: the configuration in force is refused: 2 problems; entires: unknown_field: \
                 1; targets[0].zone: undefined: za-south-b",
                "  hint: check the configuration in force by itself",
            ],
        ),
        /// Guards against a release note that is compared as a configuration.
        release_note_alone: (
            &["note.json", "--against", "active.json"], 1, &[],
            &[
                "error: note.json: is a release note alone",
                "  hint: give the configuration that contains the note",
            ],
        ),
    }
}

/// Starts a configuration service that holds `active.json` in one part with the given digest.
fn serve_configuration(sha256: &str) -> SocketAddr {
    let head = format!(r#"{{"revision":7,"parts":[{{"key":"fleet/7/0","sha256":"{sha256}"}}]}}"#);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            let request = BufReader::new(&stream).lines().map(Result::unwrap);
            let request: Vec<_> = request.take_while(|line| !line.is_empty()).collect();
            let body = match request[0].split(' ').nth(1) {
                Some("/v1/values/fleet/head") => &head,
                Some("/v1/values/fleet/7/0") => ACTIVE,
                path => panic!("unexpected path {path:?}"),
            };
            let length = body.len();
            write!(
                &stream,
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            )
            .unwrap();
        }
    });
    address
}

/// Guards against a comparison that does not read the configuration service.
#[test]
fn configuration_service_is_read() {
    let address = serve_configuration(&sha256_hex(ACTIVE.as_bytes())).to_string();
    let output = run(&["proposal.json", "--against", &address, "--json"]);
    let result: Value = serde_json::from_slice(&output.stdout).unwrap();
    let comparison = &result["comparison"];
    let differences = comparison["differences"].as_array().unwrap();
    assert_eq!(
        (output.status.code(), &comparison["revision"], differences.len()),
        (Some(0), &7.into(), 8)
    );
}

/// Guards against a comparison to a part that does not belong to the revision.
#[test]
fn wrong_digest_fails() {
    let address = serve_configuration(&sha256_hex(b"other")).to_string();
    let output = run(&["proposal.json", "--against", &address]);
    let error =
        format!("error: {address}: value fleet/7/0 does not match its digest in fleet/head");
    assert_eq!((output.status.code(), &lines(&output.stderr)[0]), (Some(1), &error));
}

/// Guards against an unreachable service that counts as one without differences.
#[test]
fn unreachable_service_fails() {
    // A port that the system never gives to another test, unlike one that was bound before.
    let closed = "127.0.0.1:1";
    let output = run(&["proposal.json", "--against", closed]);
    let error = &lines(&output.stderr)[0];
    assert!(error.starts_with(&format!("error: {closed}: connection failed")), "{error}");
    assert_eq!(output.status.code(), Some(1));
}
