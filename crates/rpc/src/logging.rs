//! Logging of events with structured fields to standard error.

use tracing::Level;

/// Initializes logging for this process. `verbose` adds the debug level.
///
/// A line consists of level, module, event and fields, for example
/// `INFO ivygate_registry::service::ticks: node lost node="proxy@10.0.0.9"`. It has no timestamp, because the wall clock may
/// step; the log collector adds one.
pub fn init_logging(verbose: bool) {
    let max_level = if verbose { Level::DEBUG } else { Level::INFO };
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(max_level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .finish();
    // Tests may initialize logging several times in one process; the first subscriber stays in place.
    let _ = tracing::subscriber::set_global_default(subscriber);
}
