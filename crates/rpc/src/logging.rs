//! Log lines: the event in the words of the field, with structured fields, to standard error.

use tracing::Level;

/// Starts logging for this process; with `verbose`, also details.
///
/// A line names its level, the module, the event and its fields, as
/// `INFO ivygate_registry::tasks: node lost node="proxy@10.0.0.9"`. It has no time of day, which may step: whoever collects
/// the lines adds it.
pub fn init_logging(verbose: bool) {
    let max_level = if verbose { Level::DEBUG } else { Level::INFO };
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(max_level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .finish();
    // A second start in one process, as tests make, keeps the first.
    let _ = tracing::subscriber::set_global_default(subscriber);
}
