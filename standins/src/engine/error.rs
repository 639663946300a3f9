//! Why an engine refuses a call.

/// Why an engine refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The model is not loaded.
    #[error("model is not loaded")]
    UnknownModel,
    /// No such lease has memory.
    #[error("lease has no memory")]
    UnknownLease,
    /// The engine does not have the stream.
    #[error("stream is unknown")]
    UnknownStream,
    /// There is too little KV memory.
    #[error("too little KV memory")]
    NoMemory,
    /// The engine has too much load.
    #[error("too many requests")]
    Overloaded,
    /// The fencing number is lower than the last one.
    #[error("fencing number is lower than the last one")]
    StaleFencing,
    /// The bytes are no KV cache.
    #[error("bytes are no KV cache")]
    MalformedCache,
    /// The engine restarted, so that the connection breaks.
    #[error("engine restarted")]
    Restarted,
}
