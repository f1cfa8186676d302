//! A tree of matchers: which call a method and a path stand for.

use crate::errors::{Fault, Kind};

/// One matcher: a path's segment that fits leads to the matchers under it.
pub enum Matcher<A> {
    /// This segment, and what may follow it.
    At(&'static str, Vec<Matcher<A>>),
    /// Any segment, kept in order, and what may follow it.
    Any(Vec<Matcher<A>>),
    /// The path's end with this method.
    End(&'static str, A),
}

/// A call that was found.
#[derive(Debug, PartialEq, Eq)]
pub struct Found<'a, A> {
    /// What it stands for.
    pub call: A,
    /// The segments that [`Matcher::Any`] kept.
    pub kept: Vec<&'a str>,
}

impl<A: Copy> Matcher<A> {
    /// Finds a call in a row of matchers.
    ///
    /// # Errors
    /// `Unknown` where no path fits, `Method` where only the method does not.
    pub fn find<'a>(row: &[Self], method: &str, path: &'a str) -> Result<Found<'a, A>, Fault> {
        let path = path.strip_prefix('/').unwrap_or(path);
        let segments: Vec<&str> = if path.is_empty() { Vec::new() } else { path.split('/').collect() };
        let mut kept = Vec::new();
        let mut other_method = false;
        match Self::walk(row, method, &segments, &mut kept, &mut other_method) {
            Some(call) => Ok(Found { call, kept }),
            None if other_method => Err(Fault::new(Kind::Method, format!("{method} is not for /{path}"))),
            None => Err(Fault::new(Kind::Unknown, format!("there is no /{path}"))),
        }
    }

    fn walk<'a>(
        row: &[Self],
        method: &str,
        segments: &[&'a str],
        kept: &mut Vec<&'a str>,
        other_method: &mut bool,
    ) -> Option<A> {
        for matcher in row {
            match (matcher, segments.split_first()) {
                (Self::At(name, under), Some((first, rest))) if first == name => {
                    if let Some(call) = Self::walk(under, method, rest, kept, other_method) {
                        return Some(call);
                    }
                }
                (Self::Any(under), Some((first, rest))) => {
                    kept.push(first);
                    if let Some(call) = Self::walk(under, method, rest, kept, other_method) {
                        return Some(call);
                    }
                    kept.pop();
                }
                (Self::End(wanted, call), None) if *wanted == method => return Some(*call),
                (Self::End(..), None) => *other_method = true,
                _ => {}
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_path_is_found_with_what_it_names() {
        let tree = [Matcher::At(
            "drain",
            vec![
                Matcher::Any(vec![Matcher::At("begin", vec![Matcher::End("POST", 1)])]),
                Matcher::End("GET", 2),
            ],
        )];
        let found = |method, path| Matcher::find(&tree, method, path);
        assert_eq!(found("POST", "/drain/a/begin"), Ok(Found { call: 1, kept: vec!["a"] }));
        assert_eq!(found("GET", "/drain").map(|f| f.call), Ok(2));
        assert_eq!(found("GET", "/drain/a/begin").map_err(|f| f.kind), Err(Kind::Method));
        assert_eq!(found("POST", "/drain/a").map_err(|f| f.kind), Err(Kind::Unknown));
        assert_eq!(found("GET", "/").map_err(|f| f.kind), Err(Kind::Unknown));
    }
}
