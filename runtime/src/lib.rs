//! Infrastructure shared by all programs of fulmarhead: supervision, the control protocol, HTTP,
//! logs, metrics and settings.

pub mod clock;
pub mod control;
pub mod http;
pub mod ops;
pub mod platform;
pub mod process;
pub mod settings;
pub mod supervisor;
pub mod telemetry;
pub mod work;
