//! Errors of the engine stand-in.

/// Reason why the engine refuses a call; its text is the body of the HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The requested model is not loaded.
    #[error("model is not loaded")]
    UnknownModel,
    /// No memory is allocated to the lease.
    #[error("lease has no memory")]
    UnknownLease,
    /// The stream does not exist, or its reconnect timeout has passed.
    #[error("stream is unknown")]
    UnknownStream,
    /// The free KV cache, or the memory of the lease, is too small.
    #[error("too little KV memory")]
    NoMemory,
    /// The batch already has the maximum number of requests.
    #[error("too many requests")]
    Overloaded,
    /// The fencing token of the order is lower than that of an earlier order.
    #[error("fencing number is lower than the last one")]
    StaleFencing,
    /// The imported bytes are not a valid KV cache export.
    #[error("bytes are no KV cache")]
    MalformedCache,
    /// The engine restarted; the connection is aborted instead of answered.
    #[error("engine restarted")]
    Restarted,
}
