//! Calls of a model engine.

use crate::http::{Client, ClientError, Endpoint};
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

/// Longest time for a call that does no generation.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// An engine as its agent calls it.
#[derive(Clone, Debug)]
pub struct EngineClient {
    address: SocketAddr,
    client: Client,
}

impl EngineClient {
    /// Returns the engine at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// Reads the load.
    pub async fn load(&self) -> Result<EngineLoad, ClientError> {
        self.client.get_json(&self.endpoint("/load"), CALL_TIMEOUT).await
    }

    /// Lists the memory that leases hold.
    pub async fn allocations(&self) -> Result<Vec<Allocation>, ClientError> {
        let endpoint = self.endpoint("/kv");
        let list: Allocations = self.client.get_json(&endpoint, CALL_TIMEOUT).await?;
        Ok(list.allocations)
    }

    /// Allocates memory for a lease; repeating the call changes nothing.
    pub async fn allocate(&self, lease: LeaseId, tokens: Tokens) -> Result<(), ClientError> {
        let endpoint = self.endpoint(&format!("/kv/{lease}"));
        let allocate = Allocate { tokens };
        self.client.send_json(Method::PUT, &endpoint, &allocate, CALL_TIMEOUT).await?;
        Ok(())
    }

    /// Frees the memory of a lease; memory that is free already is no error.
    pub async fn free(&self, lease: LeaseId) -> Result<(), ClientError> {
        self.delete(&format!("/kv/{lease}")).await
    }

    /// Cancels a stream; a stream that has ended already is no error.
    pub async fn cancel(&self, request: RequestId) -> Result<(), ClientError> {
        self.delete(&format!("/v1/streams/{request}")).await
    }

    /// Gives an order.
    pub async fn order(&self, order: &OrderRequest) -> Result<(), ClientError> {
        let endpoint = self.endpoint("/orders");
        self.client.send_json(Method::POST, &endpoint, order, CALL_TIMEOUT).await?;
        Ok(())
    }

    async fn delete(&self, path: &str) -> Result<(), ClientError> {
        let endpoint = self.endpoint(path);
        match self.client.call(Method::DELETE, &endpoint, Bytes::new(), CALL_TIMEOUT).await {
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
pub struct Completion {
    /// Model to run.
    pub model: ModelId,
    /// Text of the prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: Tokens,
    /// Priority; 0 is served first.
    #[serde(default)]
    pub priority: u8,
    /// Name of the stream for resume and cancel.
    pub request_id: RequestId,
    /// Position of the first token to send.
    #[serde(default)]
    pub position: Position,
    /// Lease that holds the KV cache of a prompt over several engines.
    #[serde(default)]
    pub lease: Option<LeaseId>,
    /// State of the segments before this prompt.
    #[serde(default)]
    pub previous: Option<String>,
    /// Sampling parameters of the published interface, passed on as the caller gave them.
    #[serde(flatten)]
    pub sampling: BTreeMap<String, Value>,
}

/// Body of `POST /kv/{lease}/prefill`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Text of the segment.
    pub prompt: String,
    /// State of the segments before this one.
    #[serde(default)]
    pub previous: Option<String>,
    /// Request that the segment belongs to.
    pub request_id: RequestId,
    /// Priority; 0 is served first.
    #[serde(default)]
    pub priority: u8,
}

/// Answer to `POST /kv/{lease}/prefill`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentState {
    /// State to pass with the next segment.
    pub state: String,
}

/// Answer to `GET /kv`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocations {
    /// Memory in use by leases.
    pub allocations: Vec<Allocation>,
}

/// Body of `PUT /kv/{lease}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocate {
    /// Memory to allocate.
    pub tokens: Tokens,
}

/// Answer to `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// How often the engine has restarted.
    pub restarts: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for their prefill.
    pub waiting: u32,
    /// Tokens of prompts that wait for their prefill.
    pub prefill_waiting: Tokens,
    /// KV cache in use.
    pub kv_used: Tokens,
    /// KV cache of the engine.
    pub kv_total: Tokens,
    /// Prefill rate of an idle engine, in tokens a second.
    pub prefill_rate: Tokens,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Role of the engine.
    pub role: String,
    /// Highest fencing number of an order.
    pub fencing: FencingToken,
}
