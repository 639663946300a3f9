//! Tests of the command lines of the stand-ins, and of shutdown by SIGTERM.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Command, Stdio},
};
use testutils::cases;

fn check_errors(program: &str, arguments: &[&str], expected: &[&str]) {
    let output = Command::new(program).args(arguments).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!((output.status.code(), lines), (Some(2), expected.into()));
}

cases! {
    check_errors {
        /// Guards against a command line whose errors are reported one at a time.
        engine: (
            env!("CARGO_BIN_EXE_standin-engine"),
            &["--kv-total=many"],
            &["--address is missing", "--kv-total: \"many\" is invalid: invalid digit found in string"],
        ),
        application: (
            env!("CARGO_BIN_EXE_standin-application"),
            &["--effects=here"],
            &["--address is missing", "--effects: \"here\" is invalid: invalid socket address syntax"],
        ),
        config_service: (
            env!("CARGO_BIN_EXE_standin-config-service"), &[], &["--address is missing"],
        ),
        vm_list: (env!("CARGO_BIN_EXE_standin-vm-list"), &[], &["--address is missing"]),
        weight_store: (
            env!("CARGO_BIN_EXE_standin-weight-store"), &[], &["--address is missing"],
        ),
    }
}

fn read_state(address: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET /debug/state HTTP/1.0\r\n\r\n").unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// Guards against a shutdown that drops connections of waiting watches or exits with an error.
#[test]
fn sigterm_answers_waiting_watches() {
    let mut service = Command::new(env!("CARGO_BIN_EXE_standin-config-service"))
        .arg("--address=127.0.0.1:0")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(service.stdout.take().unwrap()).lines();
    let line = lines.next().unwrap().unwrap();
    let record: serde_json::Value = serde_json::from_str(&line).unwrap();
    let address = record["attributes"]["address"].as_str().unwrap();
    let mut watch = TcpStream::connect(address).unwrap();
    let request = "GET /v1/watch/fleet/head?after=0&wait_ms=60000 HTTP/1.1\r\nhost: a\r\n\r\n";
    watch.write_all(request.as_bytes()).unwrap();
    while !read_state(address).contains("\"watches\":1") {}
    let kill = Command::new("kill").arg(service.id().to_string()).status().unwrap();
    assert!(kill.success());
    let mut response = String::new();
    watch.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(service.wait().unwrap().success());
}
