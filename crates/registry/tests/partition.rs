//! A core machine that is partitioned from the other core machines for 20 s, from the view of its registry and of a proxy that
//! pulls from it. Its store receives no responses, whether the partition is symmetric or not.

use ivygate_cluster::{contact_age_on_receipt_ms, Node, ParentSelector, QuorumContact, Role};
use ivygate_control_state::Items;
use ivygate_registry::{HeartbeatRequest, OperatorRequest, PeerStore, Registry, RequestForwarding};
use ivygate_rpc::ErrorKind;
use ivygate_time::Timestamp;
use std::net::{Ipv4Addr, SocketAddr};

/// Start of the partition, in milliseconds.
const PARTITION_START: f64 = 10_000.0;
/// End of the partition, in milliseconds.
const PARTITION_END: f64 = 30_000.0;
/// Contact age above which a registry grants no shares, in milliseconds.
const MAX_CONTACT_AGE: f64 = 3_500.0;
/// Contact age above which a parent counts as out of contact, in milliseconds.
const MAX_PARENT_AGE: f64 = 2_000.0;
/// Time for which a pull is held, in milliseconds.
const HOLD_TIME: f64 = 600.0;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn node(last: u8, role: Role) -> Node {
    let (zone, region) = ("r1".to_owned(), "r".to_owned());
    Node { ip: ip(last), role, zone, region, http: None, ready: true, leaving: false, lost: false }
}

/// Times, in steps of 100 ms, at which a condition was met.
#[derive(Default)]
struct Times(Vec<f64>);

impl Times {
    fn first(&self) -> f64 {
        self.0.first().copied().unwrap_or(f64::INFINITY)
    }

    fn last(&self) -> f64 {
        self.0.last().copied().unwrap_or(f64::NEG_INFINITY)
    }
}

/// Simulates the partition. With `is_symmetric` heartbeats do not arrive either; otherwise only messages sent by the machine
/// are lost.
fn simulate_partition(is_symmetric: bool) {
    let (mut store, mut registry, mut proxy) =
        (QuorumContact::default(), QuorumContact::default(), QuorumContact::default());
    let (mut state_machine, mut items, mut selector) =
        (Registry::new(ip(1)), Items::default(), ParentSelector::default());
    let parents: [SocketAddr; 2] = [(ip(1), 1).into(), (ip(2), 1).into()];
    let nodes = [node(2, Role::Registry), node(3, Role::Registry), node(9, Role::Proxy)];
    nodes.iter().for_each(|node| {
        items.merge(node.to_item(1));
    });
    let (mut registry_pull_at, mut proxy_pull_at) = (0.0, 0.0);
    let [mut grants, mut lists_none, mut other_parent] =
        [Times::default(), Times::default(), Times::default()];
    let mut oldest = 0.0_f64;
    for step in 0..400 {
        let now = f64::from(step) * 100.0;
        let is_partitioned = (PARTITION_START..PARTITION_END).contains(&now);
        // The store contacts the other stores each second.
        if !is_partitioned && step % 10 == 0 {
            store.record(Timestamp::from_millis(now), 40.0);
        }
        // The registry pulls from the store, and the proxy from the registry or another one. Each pull is held for 600 ms.
        if now >= registry_pull_at + HOLD_TIME {
            registry.record(
                Timestamp::from_millis(now),
                contact_age_on_receipt_ms(
                    Timestamp::from_millis(registry_pull_at),
                    Timestamp::from_millis(now),
                    store.age_ms(Timestamp::from_millis(now)),
                    HOLD_TIME,
                ),
            );
            registry_pull_at = now;
        }
        if now >= proxy_pull_at + HOLD_TIME {
            let to = selector.select(Timestamp::from_millis(now), &parents).expect("a candidate").address;
            let age = if to == parents[0] { registry.age_ms(Timestamp::from_millis(now)) } else { 900.0 };
            let age = contact_age_on_receipt_ms(
                Timestamp::from_millis(proxy_pull_at),
                Timestamp::from_millis(now),
                age,
                HOLD_TIME,
            );
            selector.handle_response(Timestamp::from_millis(now), to, 1, 1, age);
            proxy.record(Timestamp::from_millis(now), age);
            proxy_pull_at = now;
            if to != parents[0] {
                other_parent.0.push(now);
            }
        }
        oldest = oldest.max(if now > 2_000.0 { proxy.age_ms(Timestamp::from_millis(now)) } else { 0.0 });
        if step % 6 == 0 && !(is_partitioned && is_symmetric) {
            for node in &nodes {
                let (_, response) = state_machine.handle_heartbeat(
                    Timestamp::from_millis(now),
                    &items,
                    HeartbeatRequest { entry: node.to_item(1) },
                );
                if response.registries.is_empty() && now > 1_000.0 {
                    lists_none.0.push(now);
                }
            }
        }
        let lost = state_machine.tick(
            Timestamp::from_millis(now),
            registry.age_ms(Timestamp::from_millis(now)),
            &items,
        );
        assert!(lost.is_empty(), "no node may be declared lost: {lost:?} at {now}");
        if registry.age_ms(Timestamp::from_millis(now)) <= MAX_CONTACT_AGE {
            grants.0.push(now);
        }
    }
    let stopped_after =
        grants.0.iter().copied().filter(|at| *at < PARTITION_END).fold(0.0, f64::max) - PARTITION_START;
    assert!(
        (1_000.0..=MAX_CONTACT_AGE).contains(&stopped_after),
        "grants shares until {stopped_after} ms after the start of the partition"
    );
    let resumed_after =
        grants.0.iter().copied().find(|at| *at >= PARTITION_END).unwrap_or(f64::INFINITY) - PARTITION_END;
    assert!(resumed_after <= 1_000.0 + HOLD_TIME, "grants shares from {resumed_after} ms after its end");
    // The proxy changes to another parent before its own control state is too old.
    assert!(
        other_parent.first() - PARTITION_START <= MAX_PARENT_AGE + 2.0 * HOLD_TIME,
        "pulls from another parent after {} ms",
        other_parent.first() - PARTITION_START
    );
    assert!(other_parent.last() < PARTITION_END + 16_000.0);
    assert!(oldest < MAX_PARENT_AGE + 2.0 * HOLD_TIME, "the contact age of the proxy reaches {oldest} ms");
    if !is_symmetric {
        assert!(
            lists_none.first() - PARTITION_START <= 2_600.0
                && lists_none.last() - PARTITION_END <= 1_000.0 + 2.0 * HOLD_TIME
        );
    }
}

#[test]
fn partitioned_core_machine_acts_on_nothing_stale() {
    simulate_partition(true);
}

#[test]
fn core_machine_that_only_receives_acts_on_nothing_stale() {
    simulate_partition(false);
}

#[test]
fn partitioned_machine_rejects_operators_at_once() {
    let others = |last_response_at| {
        vec![PeerStore {
            address: (ip(2), 1).into(),
            is_same_region: true,
            last_response_at: Some(last_response_at),
        }]
    };
    // For two seconds after the start of the partition another store is tried, within the operator's timeout of one second.
    // After that, the error is final.
    let early = RequestForwarding::new(
        Timestamp::from_millis(PARTITION_START + 1_000.0),
        OperatorRequest::Update,
        others(Timestamp::from_millis(PARTITION_START - 100.0)),
    );
    let next =
        early.clone().next_target(Timestamp::from_millis(PARTITION_START + 1_300.0), ErrorKind::NoQuorum);
    assert!(next.is_some_and(|next| next.wait_ms <= 600.0));
    let late = RequestForwarding::new(
        Timestamp::from_millis(PARTITION_START + 3_000.0),
        OperatorRequest::Update,
        others(Timestamp::from_millis(PARTITION_START - 100.0)),
    );
    assert_eq!(
        late.clone().next_target(Timestamp::from_millis(PARTITION_START + 3_300.0), ErrorKind::NoQuorum),
        None
    );
    assert_eq!(
        early.clone().next_target(Timestamp::from_millis(PARTITION_START + 1_300.0), ErrorKind::Timeout),
        None,
        "a call that may have been executed is not repeated"
    );
}
