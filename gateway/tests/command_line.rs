//! Startup errors in the command line and the settings file of the gateway.

use std::process::Command;
use testutils::cases;

/// Runs the gateway with `arguments` and the settings file at `path`. Expects the exit code
/// `exit_code` and a line on standard error that contains `expected`.
fn check_failure(arguments: &[&str], path: &str, exit_code: i32, expected: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarhead-gateway"))
        .args(arguments)
        .env(fulmarhead_platform::SETTINGS_VARIABLE, path)
        .output()
        .unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    let found = stderr.lines().any(|line| line.contains(expected));
    assert_eq!(
        (output.status.code(), found),
        (Some(exit_code), true),
        "expected exit code {exit_code} and {expected:?} on standard error: {stderr}"
    );
}

cases! {
    check_failure {
        /// Guards against an invalid setting that is silently ignored.
        invalid_port: (&["--ops-port=none"], "/dev/null", 2, "--ops-port"),
        /// Guards against a start without settings, and against an error that does not name the
        /// file.
        no_settings_file: (&[], "/nonexistent/boot.conf", 1, "/nonexistent/boot.conf"),
        empty_settings_file: (&[], "/dev/null", 1, "is missing"),
    }
}
