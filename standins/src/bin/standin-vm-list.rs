//! The list of VMs as a program.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::{
    clock::SystemClock,
    settings::{SettingErrors, SettingsReader, flag, parse},
};
use standins::{
    program::{self, Program},
    vm_list::VmList,
};
use std::{process::ExitCode, time::Duration};

fn command() -> Command {
    program::command("standin-vm-list", "Stands in for the list of VMs").arg(
        flag("lag-ms", "STANDIN_LAG_MS", "Time until the list shows a change, in ms")
            .default_value("0"),
    )
}

fn read(matches: &ArgMatches) -> Result<(Program, Duration), SettingErrors> {
    let mut reader = SettingsReader::new(matches);
    let program = Program::read(&mut reader);
    let lag = reader.required("lag-ms");
    reader.finish_with(|| Some((program?, Duration::from_millis(lag?))))
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let (program, lag) = match parse(command(), read) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let list = VmList::new(lag, SystemClock::shared());
    let root = program.start("VM list", list.router()).await?;
    program::run(root).await
}
