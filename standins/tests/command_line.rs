//! The command lines of the stand-ins.

use std::process::Command;
use testutils::cases;

fn check_errors(program: &str, arguments: &[&str], expected: &[&str]) {
    let output = Command::new(program).args(arguments).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!((output.status.code(), lines), (Some(2), expected.into()));
}

cases! {
    check_errors {
        /// Guards against a start that stops at the first of several errors.
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
