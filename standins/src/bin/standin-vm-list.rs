//! Program that runs the VM list stand-in.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::{
    clock::SystemClock,
    settings::{SettingErrors, SettingsReader, flag, parse},
};
use standins::{
    program::{self, ProgramSettings},
    vm_list::VmList,
};
use std::{process::ExitCode, time::Duration};

fn command() -> Command {
    program::command("standin-vm-list", "Stand-in for the list of VMs").arg(
        flag("lag-ms", "STANDIN_LAG_MS", "Delay until the list shows a change, in ms")
            .default_value("0"),
    )
}

fn read_settings(matches: &ArgMatches) -> Result<(ProgramSettings, Duration), SettingErrors> {
    let mut reader = SettingsReader::new(matches);
    let program = ProgramSettings::read(&mut reader);
    let lag = reader.required("lag-ms");
    reader.finish_with(|| Some((program?, Duration::from_millis(lag?))))
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let (program, lag) = match parse(command(), read_settings) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let list = VmList::new(lag, SystemClock::shared());
    let root = program.start("VM list", list.router()).await?;
    program::run(root).await
}
