//! Programs of the workspace.

use std::path::PathBuf;
use strum::{Display, EnumIter};

/// A program of the workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
pub enum Program {
    /// The entry.
    #[strum(serialize = "fulmarhead-entry")]
    Entry,
    /// The entry on the users' shared platform.
    #[strum(serialize = "fulmarhead-gateway")]
    Gateway,
    /// The agent.
    #[strum(serialize = "fulmarhead-agent")]
    Agent,
    /// The model engine stand-in.
    #[strum(serialize = "standin-engine")]
    Engine,
    /// The application worker stand-in.
    #[strum(serialize = "standin-application")]
    Application,
    /// The configuration service stand-in.
    #[strum(serialize = "standin-config-service")]
    ConfigService,
}

impl Program {
    /// Returns the path of the program: test executables lie one folder below the programs.
    pub fn path(self) -> std::io::Result<PathBuf> {
        let test = std::env::current_exe()?;
        let folder = test.ancestors().nth(2).unwrap_or(&test);
        Ok(folder.join(self.to_string()))
    }
}
