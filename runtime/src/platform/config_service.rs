//! The platform's configuration service, read only.

use crate::http::{Client, ClientError, Endpoint};
use bytes::Bytes;
use fulmarhead_lib::{config::Bundle, digest::sha256_hex, ids::Revision};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Longest time for one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Added to the time of a watch for its answer to arrive.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// The value under `fleet/head`: a revision and the values that hold its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision of the document.
    pub revision: Revision,
    /// Pieces of the document, in order; together they are its text.
    pub parts: Vec<Part>,
}

/// A piece of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Key of the value.
    pub key: String,
    /// SHA-256 digest of the value, in hexadecimal.
    pub sha256: String,
}

/// Why a configuration could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// A call failed.
    #[error(transparent)]
    Call(#[from] ClientError),
    /// A piece has other content than the head says.
    #[error("value {key} does not have the digest that the head names")]
    Digest {
        /// Key of the value.
        key: String,
    },
    /// The document is not UTF-8.
    #[error("document of revision {revision} is not UTF-8")]
    Encoding {
        /// Revision of the document.
        revision: Revision,
    },
}

/// The configuration service.
#[derive(Clone, Debug)]
pub struct ConfigService {
    address: SocketAddr,
    client: Client,
}

impl ConfigService {
    /// Returns the service at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// Reads the current configuration.
    pub async fn read(&self) -> Result<Bundle, ServiceError> {
        let endpoint = self.endpoint("/v1/values/fleet/head");
        let head = self.client.get_json(&endpoint, READ_TIMEOUT).await?;
        self.load(head).await
    }

    /// Waits at most `wait` for a configuration newer than `after`.
    pub async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Bundle>, ServiceError> {
        let query = format!("/v1/watch/fleet/head?after={after}&wait_ms={}", wait.as_millis());
        let endpoint = self.endpoint(&query);
        match self.client.get_json(&endpoint, wait + WATCH_MARGIN).await {
            Ok(head) => Ok(Some(self.load(head).await?)),
            Err(ClientError::Status(StatusCode::NOT_MODIFIED)) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    async fn load(&self, head: Head) -> Result<Bundle, ServiceError> {
        let mut text = Vec::new();
        for part in head.parts {
            text.extend_from_slice(&self.load_part(part).await?);
        }
        let revision = head.revision;
        let text = String::from_utf8(text).map_err(|_| ServiceError::Encoding { revision })?;
        Ok(Bundle { revision, text: text.into() })
    }

    async fn load_part(&self, part: Part) -> Result<Bytes, ServiceError> {
        let endpoint = self.endpoint(&format!("/v1/values/{}", part.key));
        let value = self.client.call(Method::GET, &endpoint, Bytes::new(), READ_TIMEOUT).await?;
        if sha256_hex(&value) != part.sha256 {
            return Err(ServiceError::Digest { key: part.key });
        }
        Ok(value)
    }

    fn endpoint(&self, path: &str) -> Endpoint {
        Endpoint::new(self.address, path)
    }
}
