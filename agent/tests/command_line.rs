//! Tests of the command line of the agent.

use std::process::Command;
use testutils::cases;

fn check_errors(arguments: &[&str], expected: &[&str]) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_fulmarhead-agent")).args(arguments).output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.code(), stderr.lines().collect::<Vec<_>>()),
        (Some(2), expected.into())
    );
}

cases! {
    check_errors {
        /// Guards against reporting only the first of several errors.
        all_missing_settings_are_listed: (
            &[],
            &[
                "--target is missing",
                "--target-address is missing",
                "--work is missing",
                "--control is missing",
                "--ops is missing",
            ],
        ),
        /// Guards against an invalid setting that hides a missing one.
        invalid_and_missing_settings_are_listed: (
            &["--target=engine-1", "--target-address=nowhere", "--work=127.0.0.1:0", "--control=127.0.0.1:0"],
            &[
                "--target-address: \"nowhere\" is invalid: invalid socket address syntax",
                "--ops is missing",
            ],
        ),
    }
}
