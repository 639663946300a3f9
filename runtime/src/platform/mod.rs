//! Protocols of the platform and of targets, as `docs/design/platform-protocols.md` has them.

mod config_service;
pub mod engine;

pub use self::config_service::{ConfigService, Head, Part, ServiceError};
