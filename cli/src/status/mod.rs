//! The command `status`, which shows entries and agents in tables or as JSON.

mod rows;
mod state;

use self::rows::{AgentRow, EntryRow, FleetStatus};
use crate::{failure::Failure, print_failure, process};
use comfy_table::{Table, presets::NOTHING};
use fulmarhead_lib::control::Progress;
use fulmarhead_runtime::http::Client;
use futures::{StreamExt, stream};
use std::net::SocketAddr;

/// Maximum number of processes whose state is read concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Prints the state of the processes.
///
/// # Errors
///
/// Returns an error if the state of a process cannot be read; that of the others is printed anyway.
pub(crate) async fn run(addresses: &[SocketAddr], json: bool) -> Result<(), Failure> {
    let client = Client::default();
    let states: Vec<_> = stream::iter(addresses.iter().copied())
        .map(|address| {
            let client = client.clone();
            async move { (address, process::read_state(&client, address).await) }
        })
        .buffered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await;
    let mut fleet = FleetStatus::default();
    let mut unread = 0;
    for (address, state) in states {
        match state {
            Ok(state) => fleet.add(address, state),
            Err(failure) => {
                unread += 1;
                print_failure(&failure);
            }
        }
    }
    match json {
        true => println!("{}", serde_json::to_string_pretty(&fleet)?),
        false => print(&fleet),
    }
    if unread == 0 { Ok(()) } else { Err(Failure::UnreadProcesses(unread)) }
}

fn print(fleet: &FleetStatus) {
    if !fleet.entries.is_empty() {
        let mut table =
            new_table(["entry", "address", "zone", "revision", "phase", "targets", "error"]);
        for entry in &fleet.entries {
            table.add_row(entry_cells(entry));
        }
        println!("{table}\n");
    }
    if !fleet.agents.is_empty() {
        let mut table =
            new_table(["target", "revision", "phase", "load", "kv", "release note", "error"]);
        for (target, agent) in &fleet.agents {
            table.add_row(agent_cells(target, agent));
        }
        println!("{table}");
    }
}

fn new_table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header);
    table
}

fn entry_cells(entry: &EntryRow) -> [String; 7] {
    // An entry without a configuration is shown as serving with revision 0.
    let phase = if entry.stopping { "draining" } else { "serving" };
    [
        entry.id.clone(),
        entry.address.to_string(),
        entry.zone.clone(),
        entry.revision.to_string(),
        phase.to_owned(),
        entry.targets.to_string(),
        entry.config_error.clone().unwrap_or_default(),
    ]
}

fn agent_cells(target: &str, agent: &AgentRow) -> [String; 7] {
    let load = &agent.load;
    [
        target.to_owned(),
        agent.revision.to_string(),
        agent.phase.to_string(),
        format!("{}/{}", load.running, load.cap),
        format!("{}/{}", load.kv_used, load.kv_total),
        rollout_cell(&agent.progress),
        agent.config_error.clone().unwrap_or_default(),
    ]
}

/// Formats the progress of a target towards the release note.
fn rollout_cell(progress: &Progress) -> String {
    match (progress.note, progress.done) {
        (0, _) => "none".to_owned(),
        (note, true) => format!("{note}: done"),
        (note, false) => format!("{note}: {}", progress.stage),
    }
}
