//! The configuration in force, to which a document is compared.

use crate::failure::Failure;
use fulmarhead_lib::config::{Fleet, parse, parse_revision};
use fulmarhead_runtime::{http::Client, platform::ConfigServiceClient};
use std::{convert::Infallible, fs, net::SocketAddr, path::PathBuf, str::FromStr};

/// Where the configuration in force is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A file with the document.
    File(PathBuf),
    /// The configuration service.
    Service(SocketAddr),
}

impl FromStr for Source {
    type Err = Infallible;

    /// Takes everything that is no address with a port as the path of a file.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(text.parse().map_or_else(|_| Self::File(text.into()), Self::Service))
    }
}

impl Source {
    /// Reads and validates the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be read or is invalid.
    pub(super) async fn read(&self) -> Result<Fleet, Failure> {
        let result = match self {
            Self::File(path) => {
                let text = fs::read_to_string(path)
                    .map_err(|error| Failure::UnreadFile { path: path.clone(), error })?;
                parse(&text)
            }
            Self::Service(address) => {
                let client = ConfigServiceClient::new(*address, Client::default());
                let bundle = client
                    .read()
                    .await
                    .map_err(|error| Failure::UnreadService { address: *address, error })?;
                parse_revision(&bundle.text, bundle.revision)
            }
        };
        result.map_err(Failure::InvalidActive)
    }
}
