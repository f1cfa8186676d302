//! Tests of `new` that need its private state.

use super::*;

#[test]
fn questions_are_asked_again_until_they_can_be_read() {
    let answers =
        "\nshop\nnowhere\n127.0.0.1:9000\n\nPOST orders\nPOST /orders unsafe\n/ safe\n\n20/s\nX-Customer\n";
    let mut said = Vec::new();
    let app = asked(&mut answers.as_bytes(), &mut said).unwrap();
    assert_eq!((app.name.as_str(), app.servers.len(), app.routes.len()), ("shop", 1, 2));
    assert_eq!(app.plans, [("standard".to_owned(), "20/s".to_owned())]);
    assert_eq!(app.customer_header.as_deref(), Some("X-Customer"));
    assert_eq!(String::from_utf8(said).unwrap().matches("Where it listens").count(), 3);
}

#[test]
fn answers_that_end_early_write_nothing() {
    assert!(asked(&mut "shop\n".as_bytes(), &mut Vec::new()).is_err());
}
