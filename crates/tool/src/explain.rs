//! Explains diagnostic codes.

use ivygate_config::{Code, CODES};
use std::fmt::Write;

/// Returns the explanation of a code, ignoring case; `None` if there is no such code.
pub fn explain(code: &str) -> Option<String> {
    let code = CODES.iter().find(|known| known.code.eq_ignore_ascii_case(code.trim()))?;
    let mut text = format!("{} ({}): {}\n", code.code, code.severity(), code.title);
    if !code.why.is_empty() {
        let _ = write!(text, "\n{}\n", code.why);
    }
    if !code.wrong.is_empty() {
        let _ = write!(text, "\nNot:\n    {}\n", code.wrong);
    }
    if !code.right.is_empty() {
        let _ = write!(text, "\nBut:\n    {}\n", code.right);
    }
    Some(text)
}

/// Returns the reference page of all codes, in Markdown.
pub fn all_as_markdown() -> String {
    let mut page = String::from(
        "# Codes\n\nMade by `ivygate explain --all`. Codes stay as they are; new ones are added. `IV00…` are errors, \
         `IV01…` warnings, `IV02…` notes.\n\n| code | what | why | not | but |\n| --- | --- | --- | --- | --- |\n",
    );
    for Code { code, title, why, wrong, right } in CODES {
        let quoted = |text: &str| match text {
            "" => String::new(),
            text if text.contains('`') => text.to_owned(),
            text => format!("`{text}`"),
        };
        let _ = writeln!(page, "| {code} | {title} | {why} | {} | {} |", quoted(wrong), quoted(right));
    }
    page
}
