//! Queries about orders, answered as JSON lines; the same for a journal opened directly, over its socket and over HTTP.

use crate::order::{Order, State};
use crate::pseudonym::Pseudonymizer;
use crate::store::{Cursor, JournalError, Store};
use serde_json::{json, Value};

/// Orders per page if the query gives no limit.
const DEFAULT_PAGE_SIZE: usize = 100;
/// Maximum number of orders per page.
const MAX_PAGE_SIZE: usize = 1000;
/// Maximum number of orders read for one page. A page may therefore hold fewer matches than exist, with a cursor for
/// the next one.
const MAX_ORDERS_READ: usize = 20_000;

/// Response to a query.
#[derive(Debug)]
pub struct QueryResponse {
    /// HTTP status: 200, 400, 404 or 500.
    pub status: u16,
    /// JSON documents, one per line. A page that is followed by another ends with the line `{"next": "CURSOR"}`.
    pub lines: String,
}

impl QueryResponse {
    /// Creates an error response.
    pub fn error(status: u16, message: &str) -> Self {
        response(status, &json!({ "error": message }))
    }
}

/// Reason why a query is invalid.
type QueryError = String;

struct OrderQuery {
    id: Option<String>,
    state: Option<String>,
    customer: Option<String>,
    after: Option<Cursor>,
    limit: usize,
}

/// Formats an order as a JSON document.
fn document(id: &str, order: &Order) -> Value {
    let status = match order.state() {
        State::Answered(status) => Some(status),
        State::NeverSent | State::Unknown => None,
    };
    json!({ "id": id, "state": order.state().as_str(), "status": status, "order": order })
}

/// Answers a query for `/orders?state=…&customer=…&id=…&after=…&limit=…` and `/verify`.
pub fn answer_query(store: &Store, target: &str) -> QueryResponse {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let response = match path {
        "/orders" => match parse_query(query) {
            Ok(query) => orders(store, &query),
            Err(message) => return QueryResponse::error(400, &message),
        },
        "/verify" => store.verify().map(|report| {
            let document =
                json!({ "orders": report.orders, "unknown": report.unknown, "wrong": report.problems });
            response(200, &document)
        }),
        _ => return QueryResponse::error(404, "ask for `/orders` or `/verify`"),
    };
    response.unwrap_or_else(|error| QueryResponse::error(500, &error.to_string()))
}

fn response(status: u16, document: &Value) -> QueryResponse {
    QueryResponse { status, lines: format!("{document}\n") }
}

fn parse_query(query: &str) -> Result<OrderQuery, QueryError> {
    let mut parsed =
        OrderQuery { id: None, state: None, customer: None, after: None, limit: DEFAULT_PAGE_SIZE };
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "id" => parsed.id = Some(value.into_owned()),
            "customer" => parsed.customer = Some(value.into_owned()),
            "state" if State::NAMES.contains(&&*value) => parsed.state = Some(value.into_owned()),
            "state" => return Err(format!("`state` is {}, not `{value}`", State::NAMES.join(", "))),
            "after" => {
                let cursor =
                    value.split_once('-').and_then(|(at, id)| Some((at.parse().ok()?, id.to_owned())));
                parsed.after = Some(cursor.ok_or("`after` is what `next` said on the page before")?);
            }
            "limit" => {
                let limit = value.parse().ok().filter(|limit| (1..=MAX_PAGE_SIZE).contains(limit));
                parsed.limit = limit.ok_or_else(|| format!("`limit` is from 1 to {MAX_PAGE_SIZE}"))?;
            }
            other => return Err(format!("`{other}` means nothing here")),
        }
    }
    Ok(parsed)
}

fn orders(store: &Store, query: &OrderQuery) -> Result<QueryResponse, JournalError> {
    if let Some(id) = &query.id {
        return Ok(match store.find(id)? {
            Some((id, order)) => response(200, &document(&id, &order)),
            None => QueryResponse::error(404, &format!("the journal has no order {id}")),
        });
    }
    let pseudonym = match &query.customer {
        Some(customer) => store.salt()?.and_then(|salt| Some(Pseudonymizer::new(&salt)?.pseudonym(customer))),
        None => None,
    };
    let (mut lines, mut count) = (String::new(), 0);
    let next = store.list(query.after.as_ref(), MAX_ORDERS_READ, |(id, order)| {
        let matches = query.state.as_ref().is_none_or(|state| order.state().as_str() == state)
            && query.customer.as_ref().is_none_or(|customer| {
                order.customer == *customer || pseudonym.as_ref() == Some(&order.customer)
            });
        if matches {
            lines += &format!("{}\n", document(&id, &order));
            count += 1;
        }
        count < query.limit
    })?;
    if let Some((at, id)) = next {
        lines += &format!("{}\n", json!({ "next": format!("{at}-{id}") }));
    }
    Ok(QueryResponse { status: 200, lines })
}
