//! Error messages for the command line of `fulmarhead-load`.

use std::process::Command;
use testutils::cases;

fn check_errors(arguments: &[&str], expected: &[&str]) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_fulmarhead-load")).args(arguments).output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.code(), stderr.lines().collect::<Vec<_>>()),
        (Some(2), expected.into())
    );
}

cases! {
    check_errors {
        /// Guards against reporting only the first of several errors.
        all_errors_are_listed: (
            &["--mix=tall", "--teams=club:token", "--long-share=1.5"],
            &[
                "--entries is missing",
                "--teams: \"club:token\" is invalid: not of the form NAME:TOKEN:SHARE",
                "--rate is missing",
                "--mix: \"tall\" is invalid: Matching variant not found",
                "--long-share: \"1.5\" is invalid: not from 0 to 1",
            ],
        ),
        /// Guards against a list that consists of commas only: with no entries, the selection of an
        /// entry would divide by zero.
        empty_lists_are_missing: (
            &["--entries=,", "--teams=a:b:1", "--rate=1"],
            &["--entries is missing"],
        ),
        /// Guards against a rate or share that is not positive: with such a rate there are no
        /// arrivals, or the run never ends.
        rates_are_positive: (
            &["--entries=127.0.0.1:1", "--teams=a:b:-1", "--rate=0"],
            &[
                "--teams: \"a:b:-1\" is invalid: the share is not a positive number",
                "--rate: \"0\" is invalid: not above 0",
            ],
        ),
    }
}
