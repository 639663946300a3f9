//! Logs as JSON lines on standard output.

use log::{LevelFilter, SetLoggerError};
use log4rs::{
    append::console::ConsoleAppender,
    config::{Appender, Config, Root, runtime::ConfigErrors},
    encode::json::JsonEncoder,
};

/// Why the logs could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The logger's configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The process has a logger already.
    #[error(transparent)]
    Installed(#[from] SetLoggerError),
}

/// Writes log records of `level` and above to standard output, one JSON object a line.
pub fn init_logs(level: LevelFilter) -> Result<(), LogError> {
    let console = ConsoleAppender::builder().encoder(Box::new(JsonEncoder::new())).build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
