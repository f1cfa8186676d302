//! What a replica answers to pulls: only what the requester lacks, and as soon as its contact with the store is renewed.

use ivygate_cluster::{PullRequest, PullResponse, StateReplica};
use ivygate_control_state::{Item, Table, Tables};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

fn item(table: Table, name: &str, version: u64) -> Arc<Item> {
    Arc::new(Item::new(table, name, version, Some(serde_json::json!({ "n": name }))))
}

fn replica(incarnation: u64, items: &[Arc<Item>]) -> Rc<StateReplica> {
    let replica = StateReplica::new(incarnation);
    replica.merge(items.iter().cloned());
    replica
}

/// Pulls from a parent that has not answered this requester before.
fn first_pull(requester: &StateReplica, parent: &StateReplica) -> PullResponse {
    let request = PullRequest {
        incarnation: 0,
        since: 0,
        wait_s: 0.0,
        tables: Tables::all().bits(),
        digests: requester.items().table_digests(),
    };
    run(parent.handle_pull(request))
}

#[test]
fn new_parent_sends_only_tables_that_differ() {
    let common =
        [item(Table::Routes, "a", 1), item(Table::Servers, "i-1", 1), item(Table::Servers, "i-2", 1)];
    let parent = replica(7, &common);
    parent.merge([item(Table::Drains, "north", 1)]);
    let requester = replica(8, &common);
    let response = first_pull(&requester, &parent);
    let names: Vec<&str> = response.items.iter().map(|item| item.key.name.as_str()).collect();
    assert_eq!((names, response.change), (vec!["north"], parent.items().last_change()));
    requester.merge(response.items);
    assert_eq!(requester.items().digest(Tables::all()), parent.items().digest(Tables::all()));
    assert!(first_pull(&requester, &parent).items.is_empty());
}

#[test]
fn outdated_requester_gets_whole_tables() {
    let parent = replica(7, &[item(Table::Routes, "a", 2), item(Table::Routes, "b", 1)]);
    let requester = replica(8, &[item(Table::Routes, "a", 1), item(Table::Routes, "b", 1)]);
    assert_eq!(first_pull(&requester, &parent).items.len(), 2);
}

#[test]
fn held_pull_is_answered_when_contact_is_renewed() {
    let parent = replica(7, &[item(Table::Routes, "a", 1)]);
    parent.record_contact(2_000.0);
    let request = PullRequest {
        incarnation: 7,
        since: parent.items().last_change(),
        wait_s: 5.0,
        tables: Tables::all().bits(),
        digests: Vec::new(),
    };
    let started = Instant::now();
    let response = run(async {
        let pull = tokio::task::spawn_local({
            let parent = parent.clone();
            async move { parent.handle_pull(request).await }
        });
        tokio::task::yield_now().await;
        parent.record_contact(0.0);
        pull.await.expect("the pull is answered")
    });
    assert!(started.elapsed() < Duration::from_secs(4), "held for {:?}", started.elapsed());
    assert!(response.contact_age_ms < 1_000.0, "contact age {}", response.contact_age_ms);
}
