//! Logging to standard error with `log4rs`.

use log4rs::{append::console, config, encode};
use snafu::{ResultExt as _, Snafu};

use crate::local_settings;

/// Line pattern of the text format: time, level, target and message.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)} {l} {t} {m}{n}";

/// Error that occurs when logging is set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// `log4rs` rejects the configuration of the logger.
    #[snafu(display("logs: {source}"))]
    Build {
        /// The errors that `log4rs` reports.
        source: config::runtime::ConfigErrors,
    },
    /// A logger is already installed.
    #[snafu(display("logs: {source}"))]
    AlreadyInstalled {
        /// The error that `log` reports.
        source: log::SetLoggerError,
    },
}

/// Installs the logger of the process. Fails if the process already has one.
pub fn install(options: &local_settings::LogOptions) -> Result<(), LoggingError> {
    let encoder: Box<dyn encode::Encode> = match options.format {
        local_settings::LogFormat::Json => Box::new(encode::json::JsonEncoder::new()),
        local_settings::LogFormat::Text => {
            Box::new(encode::pattern::PatternEncoder::new(TEXT_PATTERN))
        }
    };
    let appender = console::ConsoleAppender::builder()
        .target(console::Target::Stderr)
        .encoder(encoder)
        .build();
    let root = config::Root::builder().appender("stderr").build(options.level);
    let appender = config::Appender::builder().build("stderr", Box::new(appender));
    let config = config::Config::builder().appender(appender).build(root).context(BuildSnafu)?;
    log4rs::init_config(config).context(AlreadyInstalledSnafu)?;
    Ok(())
}
