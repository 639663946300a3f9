//! Read-only client of the platform's configuration service.

use crate::http::{CallLimits, Client, ClientError, Endpoint};
use bytes::Bytes;
use fulmarhead_lib::{config::Bundle, digest::sha256_hex, ids::Revision};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Maximum size of a value that the service stores, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum size of the document, in bytes, which has to fit into one message between processes.
const MAX_DOCUMENT_BYTES: usize = 32 << 20;

/// Limits on reading one value.
const READ_LIMITS: CallLimits = CallLimits { time: Duration::from_secs(2), bytes: MAX_VALUE_BYTES };

/// Timeout for the response to a watch, counted from the end of its wait time.
const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Value of the key `fleet/head`: the revision of the configuration document and the list of its
/// parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentHead {
    /// Revision of the document.
    pub revision: Revision,
    /// Parts of the document, whose values are concatenated in this order.
    pub parts: Vec<DocumentPart>,
}

/// Reference to a stored value that holds a part of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentPart {
    /// Key under which the value is stored.
    pub key: String,
    /// SHA-256 digest of the value, in hexadecimal.
    pub sha256: String,
}

/// Reasons why a configuration could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigServiceError {
    /// A call to the configuration service failed.
    #[error(transparent)]
    Call(#[from] ClientError),
    /// The digest of a part doesn't match the one in the document head.
    #[error("value {key} does not match its digest in fleet/head")]
    Digest {
        /// Key of the part.
        key: String,
    },
    /// The parts of the document together are larger than 32 MiB.
    #[error("document of revision {revision} is larger than {MAX_DOCUMENT_BYTES} bytes")]
    TooLarge {
        /// Revision of the document.
        revision: Revision,
    },
    /// The concatenated document is not UTF-8.
    #[error("document of revision {revision} is not UTF-8")]
    Encoding {
        /// Revision of the document.
        revision: Revision,
    },
}

/// Client of the configuration service.
#[derive(Clone, Debug)]
pub struct ConfigServiceClient {
    address: SocketAddr,
    client: Client,
}

impl ConfigServiceClient {
    /// Returns a client for the service at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// Reads the current configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a call fails, a part doesn't match its digest or the document is not
    /// UTF-8.
    pub async fn read(&self) -> Result<Bundle, ConfigServiceError> {
        let endpoint = self.endpoint("/v1/values/fleet/head");
        let head = self.client.get_json(&endpoint, READ_LIMITS).await?;
        self.read_document(head).await
    }

    /// Waits at most `wait` for a configuration newer than `after`. Returns `None` otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Self::read`].
    pub async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Bundle>, ConfigServiceError> {
        let query = format!("/v1/watch/fleet/head?after={after}&wait_ms={}", wait.as_millis());
        let endpoint = self.endpoint(&query);
        let limits = CallLimits { time: wait + WATCH_RESPONSE_TIMEOUT, ..READ_LIMITS };
        match self.client.get_json(&endpoint, limits).await {
            Ok(head) => Ok(Some(self.read_document(head).await?)),
            Err(ClientError::Status(StatusCode::NOT_MODIFIED)) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    async fn read_document(&self, head: DocumentHead) -> Result<Bundle, ConfigServiceError> {
        let mut text = Vec::new();
        for part in head.parts {
            let part = self.read_part(part).await?;
            if part.len() > MAX_DOCUMENT_BYTES - text.len() {
                return Err(ConfigServiceError::TooLarge { revision: head.revision });
            }
            text.extend_from_slice(&part);
        }
        let revision = head.revision;
        let text =
            String::from_utf8(text).map_err(|_| ConfigServiceError::Encoding { revision })?;
        Ok(Bundle { revision, text: text.into() })
    }

    async fn read_part(&self, part: DocumentPart) -> Result<Bytes, ConfigServiceError> {
        let endpoint = self.endpoint(&format!("/v1/values/{}", part.key));
        let value = self.client.call(Method::GET, &endpoint, Bytes::new(), READ_LIMITS).await?;
        if sha256_hex(&value) != part.sha256 {
            return Err(ConfigServiceError::Digest { key: part.key });
        }
        Ok(value)
    }

    fn endpoint(&self, path: &str) -> Endpoint {
        Endpoint::new(self.address, path)
    }
}
