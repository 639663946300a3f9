//! Errors of the commands.

use fulmarhead_lib::config::ConfigError;
use fulmarhead_runtime::{http::ClientError, platform::ConfigServiceError};
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
    /// A release note alone can't be compared to a configuration.
    #[error("{}: is a release note alone", .0.display())]
    NoteAgainst(PathBuf),
    /// The configuration in force cannot be read from the configuration service.
    #[error("{address}: {error}")]
    UnreadService {
        /// Address of the configuration service.
        address: SocketAddr,
        error: ConfigServiceError,
    },
    /// The configuration in force is not valid.
    #[error("the configuration in force is refused: {0}")]
    InvalidActive(ConfigError),
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
            Self::NoteAgainst(_) => Some("give the configuration that contains the note"),
            Self::UnreadService { .. } => Some("give the address of the configuration service"),
            Self::UnknownRequest(_) => {
                Some("give the logs of all entries and agents, written at level info or lower")
            }
            Self::InvalidActive(_) => Some("check the configuration in force by itself"),
            Self::Refused { .. } | Self::UnreadProcesses(_) | Self::Json(_) => None,
        }
    }
}
