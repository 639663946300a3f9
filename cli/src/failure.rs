//! Errors of the commands.

use fulmarhead_runtime::http::ClientError;
use std::{io, net::SocketAddr, path::PathBuf};

/// The reason why a command failed, as printed to the operator.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// A file cannot be read.
    #[error("{}: {error}", path.display())]
    UnreadFile { path: PathBuf, error: io::Error },
    /// The document was refused. Its errors have been printed.
    #[error("{}: refused with {count} errors", path.display())]
    Refused {
        path: PathBuf,
        /// Number of errors.
        count: usize,
    },
    /// The state of a process cannot be read.
    #[error("{address}: {error}")]
    UnreadProcess {
        /// Address for operators of the process.
        address: SocketAddr,
        error: ClientError,
    },
    /// The state of this number of processes cannot be read. The error of each has been printed.
    #[error("state of {0} processes can't be read")]
    UnreadProcesses(usize),
    /// None of the logs contains a decision on the request.
    #[error("no decision on request {0} in the logs")]
    UnknownRequest(String),
    /// The result cannot be encoded as JSON.
    #[error("result can't be encoded as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl Failure {
    /// Returns what the operator can do about the failure, if there is a general answer.
    pub(crate) fn hint(&self) -> Option<&'static str> {
        match self {
            Self::UnreadFile { .. } => Some("give the path of a readable file"),
            Self::UnreadProcess { error: ClientError::Connect(_), .. } => {
                Some("give the operators' address (setting --ops) of a running process")
            }
            Self::UnreadProcess { .. } => {
                Some("check that the address is that of an entry or agent")
            }
            Self::UnknownRequest(_) => {
                Some("give the logs of all entries and agents, written at level info or lower")
            }
            Self::Refused { .. } | Self::UnreadProcesses(_) | Self::Json(_) => None,
        }
    }
}
