//! What people do with a configuration: format it, compare two, have codes explained, have one written.
//!
//! Called by the command line. It does no I/O: texts and loaded configurations are handed in, texts and plain
//! data come back. It must never decide what a configuration means; that is `ivygate-config`'s.

mod compare;
mod explain;
mod format;
mod generate;
mod keywords;
mod openapi;
mod report;

pub use compare::{compare, Difference, DifferenceSide};
pub use explain::{all_as_markdown, explain};
pub use format::{format, FormatError};
pub use generate::{generate, AppDescription, Route, RouteEffect, RouteError};
pub use keywords::{keywords, Keyword, KEYWORDS};
pub use openapi::{from_openapi, OpenApiError, OpenApiImport};
pub use report::findings_as_json;
