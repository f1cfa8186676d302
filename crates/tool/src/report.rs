//! Findings as JSON for editors and other programs.

use ivygate_config::{Diagnostic, LoadedConfig, Severity, Sources, Span};
use serde_json::{json, Value};

/// Returns all findings of a configuration as one JSON document. Lines and columns count from 1, columns in
/// characters; `start` and `end` are byte offsets in the file.
pub fn findings_as_json(loaded: &LoadedConfig) -> String {
    let document = json!({
        "version": 1,
        "errors": loaded.count(Severity::Error),
        "warnings": loaded.count(Severity::Warning),
        "notes": loaded.count(Severity::Note),
        "files": loaded.sources.names().collect::<Vec<_>>(),
        "findings": loaded.findings.iter().map(|f| finding_to_json(&loaded.sources, f)).collect::<Vec<_>>(),
    });
    format!("{document:#}")
}

fn finding_to_json(sources: &Sources, finding: &Diagnostic) -> Value {
    let severity = match finding.severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
        Severity::Note => "note",
    };
    json!({
        "severity": severity,
        "code": finding.code,
        "message": finding.message,
        "at": position_to_json(sources, finding.at.0, &finding.at.1),
        "also": finding.related.iter().map(|(span, label)| position_to_json(sources, *span, label)).collect::<Vec<_>>(),
        "help": finding.help,
    })
}

fn position_to_json(sources: &Sources, span: Span, label: &str) -> Value {
    let begin = sources.position(span);
    let end = sources.position(Span { start: span.end, ..span });
    json!({
        "file": begin.file,
        "line": begin.line,
        "column": begin.column,
        "end_line": end.line,
        "end_column": end.column,
        "start": span.start,
        "end": span.end,
        "label": label,
    })
}
