//! Tests of the output and the exit codes of the command line for operators.

use serde_json::Value;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
};
use testutils::cases;

const REQUEST_ID: &str = "01a24038-401e-71d7-87e9-518d4d2e187c";

fn run(arguments: &[&str]) -> Output {
    let data = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data");
    let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarhead"));
    command.args(arguments).current_dir(data).output().unwrap()
}

fn check_output(arguments: &[&str], code: i32, stdout: &[&str], stderr: &[&str]) {
    let output = run(arguments);
    let lines = |bytes| String::from_utf8(bytes).unwrap().lines().map(str::to_owned).collect();
    let (out, err): (Vec<_>, Vec<_>) = (lines(output.stdout), lines(output.stderr));
    assert_eq!(
        (output.status.code(), out, err),
        (Some(code), owned_lines(stdout), owned_lines(stderr))
    );
}

fn owned_lines(lines: &[&str]) -> Vec<String> {
    lines.iter().map(|line| (*line).to_owned()).collect()
}

cases! {
    check_output {
        valid_configuration: (
            &["check", "configuration.json"], 0, &["accepted: configuration of revision 7"], &[],
        ),
        valid_release_note: (&["check", "note.json"], 0, &["accepted: release note 3"], &[]),
        /// Guards against a misspelt field that hides other errors of the document.
        unknown_field_and_contradiction: (
            &["check", "unknown_field.json"], 1, &[],
            &[
                "entires: unknown_field: 1",
                "  hint: remove the field or correct its name",
                "targets[0].zone: undefined: za-south-b",
                "  hint: define the name in its list or correct it",
                "error: unknown_field.json: refused with 2 errors",
            ],
        ),
        /// Guards against a check that stops at the first of several errors.
        all_contradictions_are_listed: (
            &["check", "contradictions.json"], 1, &[],
            &[
                "targets[0].control: duplicate: 10.0.0.1:7400",
                "  hint: remove one of the two or give it another value",
                "targets[0].zone: undefined: za-south-b",
                "  hint: define the name in its list or correct it",
                "error: contradictions.json: refused with 2 errors",
            ],
        ),
        /// Guards against an unreadable file that counts as accepted.
        missing_file: (
            &["check", "nowhere.json"], 1, &[],
            &[
                "error: nowhere.json: No such file or directory (os error 2)",
                "  hint: give the path of a readable file",
            ],
        ),
        request_in_no_log: (
            &["explain", "01a24038-401e-71d7-87e9-518d4d2e187d", "entry.log"], 1, &[],
            &[
                "error: no decision on request 01a24038-401e-71d7-87e9-518d4d2e187d in the logs",
                "  hint: give the logs of all entries and agents, written at level info or lower",
            ],
        ),
        /// Guards against decisions that are sorted by file, or by their time as text regardless of
        /// the time zone.
        decisions_of_several_logs_in_chronological_order: (
            &["explain", REQUEST_ID, "entry.log", "agent.log"], 0,
            &[
                "2026-12-04T08:42:37.982391928+00:00      +0.000 ms  request admitted  team=local  [entry.log]",
                "2026-12-04T08:42:37.983391928+00:00      +1.000 ms  target chosen  attempt=1 target_id=engine-1  [entry.log]",
                "2026-12-04T10:42:37.985391928+02:00      +2.000 ms  attempt admitted  attempt=1  [agent.log]",
                "2026-12-04T10:42:38.003391928+02:00     +18.000 ms  attempt ended  attempt=1 end=Finished  [agent.log]",
                "2026-12-04T08:42:38.004+00:00      +0.608 ms  request answered    [entry.log]",
                "",
                "21.608 ms between the first and the last decision",
                "       1.000 ms   4.6%  choice of a target at the entry",
                "       2.000 ms   9.3%  way to the agent and its decision",
                "      18.000 ms  83.3%  work at the target",
                "       0.608 ms   2.8%  way of the answer back",
            ],
            &[],
        ),
    }
}

/// Starts a server that responds to every connection with the same state dump.
fn serve_state() -> SocketAddr {
    let body = include_str!("data/entry.json");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4_096]).unwrap();
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            )
            .unwrap();
        }
    });
    address
}

fn check_output_parts(arguments: &[&str], expected: &[&str]) {
    let address = serve_state().to_string();
    let output = run(&[arguments, &[&address]].concat());
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    for part in expected {
        assert!(text.contains(part), "{part} is missing from:\n{text}");
    }
}

cases! {
    check_output_parts {
        /// Guards against a table without the targets that are known only from the reports of an
        /// entry, or without configuration errors.
        table_has_entries_and_their_targets: (
            &["status"],
            &["entry-1", "two different contents", "engine-1", "draining", "2/4", "3/9", "3: changing"],
        ),
        json_has_targets_of_the_entry: (
            &["status", "--json"], &["\"stage\": \"changing\"", "\"running\": 2"],
        ),
        dump_has_fields_that_status_omits: (
            &["dump"], &["\"process\": \"entry\"", "\"prefill_rate\": 1"],
        ),
    }
}

/// Guards against a status that succeeds although the state of a process cannot be read, or that
/// then omits the other processes.
#[test]
fn unreachable_process_fails_the_command_but_others_are_printed() {
    // A port that the system never gives to another test, unlike one that was bound before.
    let closed = "127.0.0.1:1";
    let output = run(&["status", "--json", closed, &serve_state().to_string()]);
    let state: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((output.status.code(), &state["entries"][0]["id"]), (Some(1), &"entry-1".into()));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.starts_with(&format!("error: {closed}: connection failed")), "{text}");
    assert!(text.contains("  hint: give the operators' address"), "{text}");
}
