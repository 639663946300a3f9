//! Errors on the command line of `fulmarhead-entry`.

use std::process::Command;
use testutils::cases;

fn check_errors(arguments: &[&str], expected: &[&str]) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_fulmarhead-entry")).args(arguments).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.code(), text.lines().collect::<Vec<_>>()),
        (Some(2), expected.into())
    );
}

cases! {
    check_errors {
        /// Guards against a start that reports only the first of several errors.
        all_missing_and_invalid_settings_are_listed: (
            &["--policy=fastest"],
            &[
                "--id is missing",
                "--zone is missing",
                "--callers is missing",
                "--control is missing",
                "--ops is missing",
                "--service is missing",
                "--policy: \"fastest\" is invalid: Matching variant not found",
            ],
        ),
    }
}
