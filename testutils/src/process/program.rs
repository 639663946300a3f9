//! Programs of the workspace.

use std::path::PathBuf;
use strum::{Display, EnumIter};

/// Program that a test can start; its text form is the name of the executable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
pub enum Program {
    /// Entry, which receives the requests of callers.
    #[strum(serialize = "fulmarhead-entry")]
    Entry,
    /// Gateway, the variant of the entry for the users' shared platform.
    #[strum(serialize = "fulmarhead-gateway")]
    Gateway,
    /// Agent of a target.
    #[strum(serialize = "fulmarhead-agent")]
    Agent,
    /// Stand-in for a model engine.
    #[strum(serialize = "standin-engine")]
    Engine,
    /// Stand-in for an application worker.
    #[strum(serialize = "standin-application")]
    Application,
    /// Stand-in for the configuration service.
    #[strum(serialize = "standin-config-service")]
    ConfigService,
}

impl Program {
    /// Returns the path of the program, one directory above that of the running test executable.
    ///
    /// Fails if the path of the test executable can't be determined.
    pub fn path(self) -> std::io::Result<PathBuf> {
        let test = std::env::current_exe()?;
        let directory = test.ancestors().nth(2).unwrap_or(&test);
        Ok(directory.join(self.to_string()))
    }
}
