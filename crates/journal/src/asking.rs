//! What is asked about orders, and the answers, as JSON lines: the same for a folder, a socket and over HTTP.

use crate::order::{Order, State};
use crate::pseudonym::Pseudonymizer;
use crate::store::{Cursor, JournalError, Store};
use serde_json::{json, Value};

/// Orders in an answer where nothing is said.
const PAGE: usize = 100;
/// Most orders in one answer.
const PAGE_MOST: usize = 1000;
/// Most orders that are read for one answer: a page may hold fewer than are there, and say where to go on.
const READ_MOST: usize = 20_000;

/// An answer.
#[derive(Debug)]
pub struct QueryResponse {
    /// As in HTTP: 200, 400, 404 or 500.
    pub status: u16,
    /// JSON documents, one a line. The last line of a page that is not the last one is `{"next": "PLACE"}`.
    pub lines: String,
}

impl QueryResponse {
    /// Why there is nothing to be told.
    pub fn error(status: u16, why: &str) -> Self {
        told(status, &json!({ "error": why }))
    }
}

/// Why a question is not one.
type Misasked = String;

struct Asked {
    id: Option<String>,
    state: Option<String>,
    customer: Option<String>,
    after: Option<Cursor>,
    limit: usize,
}

/// What is known of an order, as a JSON document.
fn document(id: &str, order: &Order) -> Value {
    let status = match order.state() {
        State::Answered(status) => Some(status),
        State::NeverSent | State::Unknown => None,
    };
    json!({ "id": id, "state": order.state().as_str(), "status": status, "order": order })
}

/// Answers `/orders?state=…&customer=…&id=…&after=…&limit=…` and `/verify`.
pub fn answer_query(store: &Store, target: &str) -> QueryResponse {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let told = match path {
        "/orders" => match read(query) {
            Ok(asked) => orders(store, &asked),
            Err(why) => return QueryResponse::error(400, &why),
        },
        "/verify" => store.verify().map(|report| {
            let document =
                json!({ "orders": report.orders, "unknown": report.unknown, "wrong": report.problems });
            told(200, &document)
        }),
        _ => return QueryResponse::error(404, "ask for `/orders` or `/verify`"),
    };
    told.unwrap_or_else(|error| QueryResponse::error(500, &error.to_string()))
}

fn told(status: u16, document: &Value) -> QueryResponse {
    QueryResponse { status, lines: format!("{document}\n") }
}

fn read(query: &str) -> Result<Asked, Misasked> {
    let mut asked = Asked { id: None, state: None, customer: None, after: None, limit: PAGE };
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "id" => asked.id = Some(value.into_owned()),
            "customer" => asked.customer = Some(value.into_owned()),
            "state" if State::NAMES.contains(&&*value) => asked.state = Some(value.into_owned()),
            "state" => return Err(format!("`state` is {}, not `{value}`", State::NAMES.join(", "))),
            "after" => {
                let place =
                    value.split_once('-').and_then(|(at, id)| Some((at.parse().ok()?, id.to_owned())));
                asked.after = Some(place.ok_or("`after` is what `next` said on the page before")?);
            }
            "limit" => {
                let limit = value.parse().ok().filter(|limit| (1..=PAGE_MOST).contains(limit));
                asked.limit = limit.ok_or_else(|| format!("`limit` is from 1 to {PAGE_MOST}"))?;
            }
            other => return Err(format!("`{other}` means nothing here")),
        }
    }
    Ok(asked)
}

fn orders(store: &Store, asked: &Asked) -> Result<QueryResponse, JournalError> {
    if let Some(id) = &asked.id {
        return Ok(match store.find(id)? {
            Some((id, order)) => told(200, &document(&id, &order)),
            None => QueryResponse::error(404, &format!("the journal has no order {id}")),
        });
    }
    let pseudonym = match &asked.customer {
        Some(customer) => store.salt()?.and_then(|salt| Some(Pseudonymizer::new(&salt)?.pseudonym(customer))),
        None => None,
    };
    let (mut lines, mut count) = (String::new(), 0);
    let next = store.list(asked.after.as_ref(), READ_MOST, |(id, order)| {
        let fits = asked.state.as_ref().is_none_or(|state| order.state().as_str() == state)
            && asked.customer.as_ref().is_none_or(|customer| {
                order.customer == *customer || pseudonym.as_ref() == Some(&order.customer)
            });
        if fits {
            lines += &format!("{}\n", document(&id, &order));
            count += 1;
        }
        count < asked.limit
    })?;
    if let Some((at, id)) = next {
        lines += &format!("{}\n", json!({ "next": format!("{at}-{id}") }));
    }
    Ok(QueryResponse { status: 200, lines })
}
