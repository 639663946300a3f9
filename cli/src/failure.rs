//! Why a command failed.

use fulmarhead_runtime::http::ClientError;
use std::{io, net::SocketAddr, path::PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// A file can't be read.
    #[error("{}: {error}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// The document was refused; its problems were printed.
    #[error("{}: refused with {count} errors", path.display())]
    Refused {
        /// Path of the file.
        path: PathBuf,
        /// Number of errors.
        count: usize,
    },
    /// A process does not give its state.
    #[error("{address}: {error}")]
    Process {
        /// Operators' address of the process.
        address: SocketAddr,
        /// Why the call failed.
        error: ClientError,
    },
    /// Some of the processes did not give their state; each was printed.
    #[error("{0} processes did not give their state")]
    Unreached(usize),
    /// No log has a decision on the request.
    #[error("no decision on request {0} in the logs")]
    UnknownRequest(String),
    /// The result can't be written as JSON.
    #[error("result can't be written: {0}")]
    Json(#[from] serde_json::Error),
}

impl Failure {
    /// Returns what the operator can do.
    pub(crate) fn hint(&self) -> Option<&'static str> {
        match self {
            Self::File { .. } => Some("give the path of a readable file"),
            Self::Process { error: ClientError::Connect(_), .. } => {
                Some("give the operators' address (setting --ops) of a running process")
            }
            Self::Process { .. } => Some("check that the address is that of an entry or agent"),
            Self::UnknownRequest(_) => {
                Some("give the logs of all entries and agents, written at level info or lower")
            }
            Self::Refused { .. } | Self::Unreached(_) | Self::Json(_) => None,
        }
    }
}
