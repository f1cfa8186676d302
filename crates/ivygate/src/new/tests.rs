//! Unit tests of `new` that access private items.

use super::*;

#[test]
fn prompts_are_repeated_until_the_input_is_valid() {
    let input =
        "\nshop\nnowhere\n127.0.0.1:9000\n\nPOST orders\nPOST /orders unsafe\n/ safe\n\n20/s\nX-Customer\n";
    let mut output = Vec::new();
    let app = prompt(&mut input.as_bytes(), &mut output).unwrap();
    assert_eq!((app.name.as_str(), app.servers.len(), app.routes.len()), ("shop", 1, 2));
    assert_eq!(app.plans, [("standard".to_owned(), "20/s".to_owned())]);
    assert_eq!(app.customer_header.as_deref(), Some("X-Customer"));
    assert_eq!(String::from_utf8(output).unwrap().matches("Where it listens").count(), 3);
}

#[test]
fn input_that_ends_early_is_an_error() {
    assert!(prompt(&mut "shop\n".as_bytes(), &mut Vec::new()).is_err());
}
