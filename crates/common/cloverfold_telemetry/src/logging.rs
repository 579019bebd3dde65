//! Initialization of logging: JSON lines to a file, or to a stream with an optional rate limit.

use cloverfold_settings::{LogLevel, LogSettings, LogStream};
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::json::JsonEncoder;

use crate::bounded_log::BoundedAppender;

/// Name of the appender within `log4rs`; not part of the output.
const APPENDER_NAME: &str = "lines";
/// Libraries of which only errors are logged, regardless of the level in the settings.
const ERROR_ONLY_LIBRARIES: [&str; 6] = [
    "quinn",
    "quinn_proto",
    "rustls",
    "hyper",
    "volo",
    "volo_http",
];

/// Why logging could not start.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[error("log.file {path}: {cause}")]
    File {
        /// The file.
        path: String,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The writer thread cannot be started.
    #[error("the thread that writes log lines: {0}")]
    Thread(std::io::Error),
    /// Logging was initialized before, or `log4rs` rejected its configuration.
    #[error("logging cannot start: {0}")]
    Start(String),
}

/// Initializes logging for the process; call it once.
///
/// # Errors
///
/// Returns [`LoggingError`] if the file cannot be opened, the writer thread cannot be started, or logging was initialized before.
pub fn start_logging(settings: &LogSettings) -> Result<(), LoggingError> {
    let appender = build_appender(settings)?;
    let library = |name: &&str| Logger::builder().build(*name, LevelFilter::Error);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, appender))
        .loggers(ERROR_ONLY_LIBRARIES.iter().map(library))
        .build(
            Root::builder()
                .appender(APPENDER_NAME)
                .build(level_filter(settings.level)),
        )
        .map_err(|e| LoggingError::Start(e.to_string()))?;
    log4rs::init_config(config).map_err(|e| LoggingError::Start(e.to_string()))?;
    Ok(())
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

/// Builds the appender for the settings: a file if one is set, otherwise a stream, with a rate limit if one is set.
fn build_appender(settings: &LogSettings) -> Result<Box<dyn Append>, LoggingError> {
    let encoder = Box::new(JsonEncoder::new());
    if let Some(path) = &settings.file {
        let appender = FileAppender::builder().encoder(encoder).build(path);
        let appender = appender.map_err(|cause| LoggingError::File {
            path: path.display().to_string(),
            cause,
        })?;
        return Ok(Box::new(appender));
    }
    if let Some(limit) = settings.lines_per_second {
        let appender = BoundedAppender::start(settings.stream, limit);
        return Ok(Box::new(appender.map_err(LoggingError::Thread)?));
    }
    let target = match settings.stream {
        LogStream::Stderr => Target::Stderr,
        LogStream::Stdout => Target::Stdout,
    };
    let console = ConsoleAppender::builder().target(target);
    Ok(Box::new(console.encoder(encoder).build()))
}
