//! Operations on configurations: formatting, comparison, explanation of codes, and generation.
//!
//! The command line uses this crate. It performs no I/O: it takes texts and loaded configurations and returns
//! texts and plain data. The meaning of a configuration is defined by `ivygate-config` only.

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
