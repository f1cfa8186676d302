//! Log lines: short sentences with the part's prefix, to standard error, without the time of day, which may step.

use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

struct Prefixed {
    prefix: &'static str,
}

struct Sentence<'a, 'w>(&'a mut Writer<'w>, fmt::Result);

impl Visit for Sentence<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let written = if field.name() == "message" {
            write!(self.0, " {value:?}")
        } else {
            write!(self.0, " [{} {value:?}]", field.name())
        };
        self.1 = self.1.and(written);
    }
}

impl<S, N> FormatEvent<S, N> for Prefixed
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "{}:", self.prefix)?;
        if *event.metadata().level() <= Level::WARN {
            writer.write_str(" !")?;
        }
        let mut sentence = Sentence(&mut writer, Ok(()));
        event.record(&mut sentence);
        sentence.1?;
        writeln!(writer)
    }
}

/// Log lines of this process begin with `prefix` from now on; with `verbose`, also those of detail.
pub fn start(prefix: &'static str, verbose: bool) {
    let most = if verbose { Level::DEBUG } else { Level::INFO };
    let logs = tracing_subscriber::fmt()
        .with_max_level(most)
        .with_writer(std::io::stderr)
        .event_format(Prefixed { prefix })
        .finish();
    // A second start in one process, as tests make, keeps the first.
    let _ = tracing::subscriber::set_global_default(logs);
}
