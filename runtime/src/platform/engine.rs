//! Client and message types of the HTTP interface of model engines.

use crate::http::{CallLimits, Client, ClientError, Endpoint};
use bytes::Bytes;
use fulmarhead_lib::{
    ids::{FencingToken, LeaseId, ModelId, Position, RequestId, Tokens},
    lease::Allocation,
    release::{LoadedModel, OrderRequest},
};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Timeout for calls other than completions and prefills.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on responses that only confirm a call.
const CONFIRMATION_LIMITS: CallLimits = CallLimits { time: CALL_TIMEOUT, bytes: 4 << 10 };

/// Limits on a load, which lists models and adapters.
const LOAD_LIMITS: CallLimits = CallLimits { time: CALL_TIMEOUT, bytes: 256 << 10 };

/// Limits on a list of allocations, about 100 bytes each.
const ALLOCATIONS_LIMITS: CallLimits = CallLimits { time: CALL_TIMEOUT, bytes: 1 << 20 };

/// Client that an agent uses for its engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    address: SocketAddr,
    client: Client,
}

impl EngineClient {
    /// Returns a client for the engine at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// Reads the current load of the engine.
    pub async fn load(&self) -> Result<EngineLoad, ClientError> {
        self.client.get_json(&self.endpoint("/load"), LOAD_LIMITS).await
    }

    /// Lists the KV cache memory that leases hold.
    pub async fn allocations(&self) -> Result<Vec<Allocation>, ClientError> {
        let endpoint = self.endpoint("/kv");
        let list: AllocationList = self.client.get_json(&endpoint, ALLOCATIONS_LIMITS).await?;
        Ok(list.allocations)
    }

    /// Allocates KV cache memory for a lease. The call is idempotent.
    pub async fn allocate(&self, lease: LeaseId, tokens: Tokens) -> Result<(), ClientError> {
        let endpoint = self.endpoint(&format!("/kv/{lease}"));
        let request = AllocateRequest { tokens };
        self.client.send_json(Method::PUT, &endpoint, &request, CONFIRMATION_LIMITS).await?;
        Ok(())
    }

    /// Frees the memory of a lease. Succeeds if the memory is already free.
    pub async fn free(&self, lease: LeaseId) -> Result<(), ClientError> {
        self.delete(&format!("/kv/{lease}")).await
    }

    /// Cancels a stream. Succeeds if the stream has already ended.
    pub async fn cancel(&self, request: RequestId) -> Result<(), ClientError> {
        self.delete(&format!("/v1/streams/{request}")).await
    }

    /// Sends an order, such as loading a model, to the engine.
    pub async fn order(&self, order: &OrderRequest) -> Result<(), ClientError> {
        let endpoint = self.endpoint("/orders");
        self.client.send_json(Method::POST, &endpoint, order, CONFIRMATION_LIMITS).await?;
        Ok(())
    }

    async fn delete(&self, path: &str) -> Result<(), ClientError> {
        let endpoint = self.endpoint(path);
        match self.client.call(Method::DELETE, &endpoint, Bytes::new(), CONFIRMATION_LIMITS).await {
            Ok(_) | Err(ClientError::Status(StatusCode::NOT_FOUND)) => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn endpoint(&self, path: &str) -> Endpoint {
        Endpoint::new(self.address, path)
    }
}

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// ID of the model to run.
    pub model: ModelId,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Priority; 0 is served first.
    #[serde(default)]
    pub priority: u8,
    /// Request ID, which also names the stream when it is resumed or cancelled.
    pub request_id: RequestId,
    /// Position of the first token to send.
    #[serde(default)]
    pub position: Position,
    /// Lease on the KV cache memory of a prompt that is split over several engines.
    #[serde(default)]
    pub lease: Option<LeaseId>,
    /// Prefill state of the prompt segments that precede `prompt`.
    #[serde(default)]
    pub previous: Option<String>,
    /// Sampling parameters of the public API, forwarded as the caller sent them.
    #[serde(flatten)]
    pub sampling: BTreeMap<String, Value>,
}

/// Body of `POST /kv/{lease}/prefill`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// Text of the prompt segment.
    pub prompt: String,
    /// Prefill state of the preceding segments.
    #[serde(default)]
    pub previous: Option<String>,
    /// Request that the segment belongs to.
    pub request_id: RequestId,
    /// Priority; 0 is served first.
    #[serde(default)]
    pub priority: u8,
}

/// Response to `POST /kv/{lease}/prefill`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillResponse {
    /// Prefill state to send with the next segment.
    pub state: String,
}

/// Response to `GET /kv`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationList {
    /// Memory that each lease holds.
    pub allocations: Vec<Allocation>,
}

/// Body of `PUT /kv/{lease}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocateRequest {
    /// KV cache memory to allocate, in tokens.
    pub tokens: Tokens,
}

/// Response to `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of restarts of the engine.
    pub restarts: u64,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests that are waiting for prefill.
    pub waiting: u32,
    /// Prompt tokens that are waiting for prefill.
    pub prefill_waiting: Tokens,
    /// KV cache memory in use, in tokens.
    pub kv_used: Tokens,
    /// KV cache memory of the engine, in tokens.
    pub kv_total: Tokens,
    /// Prefill rate of an idle engine, in tokens per second.
    pub prefill_rate: Tokens,
    /// Models that are loaded, with their adapters.
    pub models: Vec<LoadedModel>,
    /// Role that orders assigned to the engine.
    pub role: String,
    /// Highest fencing token of any order that the engine received.
    pub fencing: FencingToken,
}
