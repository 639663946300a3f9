//! Clients of the configuration service and of model engines, as specified in
//! `docs/design/platform-protocols.md`.
//!
//! The crate `fulmarhead_platform` contains the clients and formats of the other platform
//! protocols.

mod config_service;
pub mod engine;

pub use self::config_service::{
    ConfigServiceClient, ConfigServiceError, DocumentHead, DocumentPart,
};
