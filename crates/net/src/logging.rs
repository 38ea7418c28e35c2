//! Structured logs on standard error, by `log4rs`.

use log4rs::{append::console, config, encode};
use snafu::{ResultExt as _, Snafu};

use crate::local_settings;

/// Text for a person: time, level, module, message.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)} {l} {t} {m}{n}";

/// Why logging could not be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The configuration does not hold together.
    #[snafu(display("logs: {source}"))]
    Build {
        /// What the library found.
        source: config::runtime::ConfigErrors,
    },
    /// Logging was set up before.
    #[snafu(display("logs: {source}"))]
    Twice {
        /// What the library found.
        source: log::SetLoggerError,
    },
}

/// Sets logging up for the whole process.
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
    log4rs::init_config(config).context(TwiceSnafu)?;
    Ok(())
}
