//! The oracle detects a violation of each rule in a synthetic trace, and reports nothing else.

use ivygate_fault_injection::*;

fn rules() -> Rules {
    let class = |name, effect| Class { name, effect, work: 10.0, aim: 200.0, deadline: 1000.0, units: 2.0 };
    Rules {
        classes: vec![
            class("read", Effect::Safe),
            class("edit", Effect::Keyed),
            class("order", Effect::Unsafe),
        ],
        response_slack: 50.0,
        drain_grace: 1050.0,
        capacity: 4.0,
        cold_capacity: 0.25,
        warm_up_time: 6000.0,
        overload_factor: 2.0,
        overload_window: 1000.0,
        ceiling_rate: 4.0,
        ceiling_burst: 8.0,
        ceiling_slack: 2.0,
        settle: 1000.0,
        max_generator_delay: 25.0,
        max_stall: 50.0,
        max_shutdown_time: 2000.0,
        zones: 2,
        max_disagreement: Some(4.0),
        load_returns: true,
        denied: None,
    }
}

/// Returns a trace without violations: a request every 100 ms from ten customers in turn, each served by one execution.
fn sound() -> Trace {
    let mut trace = Trace { planned: 200, ..Trace::default() };
    for id in 0..200 {
        let scheduled = 100.0 * f64::from(id);
        let (node, server) = (id as usize % 2, id as usize % 4);
        trace.requests.push(Request {
            id,
            class: id as usize % 3,
            customer: id % 10,
            scheduled,
            written: scheduled + 1.0,
            node,
            ended: scheduled + 50.0,
            outcome: Outcome::Served,
            response_count: 1,
        });
        trace.executions.push(Execution {
            id,
            server,
            node,
            at: scheduled + 2.0,
            work: 10.0,
            effect: true,
            declined: false,
        });
        trace.generator_delays.push(1.0);
    }
    trace
}

/// Returns the names of the violated rules, without repeats.
fn broken(trace: &Trace) -> Vec<&'static str> {
    let (verdict, _, findings) = check_trace(&rules(), trace);
    assert_eq!(verdict == Verdict::Kept, findings.is_empty());
    let mut names: Vec<_> = findings.iter().map(|f| f.rule).collect();
    names.dedup();
    names
}

fn run_again(trace: &mut Trace, id: u32, server: usize, at: f64) {
    let node = trace.requests[id as usize].node;
    trace.executions.push(Execution { id, server, node, at, work: 10.0, effect: true, declined: false });
    trace.executions.sort_by(|a, b| a.at.total_cmp(&b.at));
}

#[test]
fn valid_trace_violates_no_rule() {
    assert_eq!(broken(&sound()), Vec::<&str>::new());
}

#[test]
fn missing_late_wrong_and_duplicate_responses_are_detected_unless_exempt() {
    let changes: [fn(&mut Request); 4] = [
        |r| r.outcome = Outcome::Nothing,
        |r| r.ended = r.scheduled + 1060.0,
        |r| r.outcome = Outcome::Wrong,
        |r| r.response_count = 2,
    ];
    for change in changes {
        let mut trace = sound();
        change(&mut trace.requests[7]);
        assert_eq!(broken(&trace), ["one answer in time"]);
        trace.exemptions.push(Exemption { node: 1, span: Span { from: 710.0, to: 720.0 } });
        assert_eq!(broken(&trace), Vec::<&str>::new());
    }
}

#[test]
fn unaccounted_requests_unsolicited_data_and_slow_shutdowns_are_detected() {
    let mut trace = sound();
    trace.planned += 1;
    assert_eq!(broken(&trace), ["accounted for once"]);
    let again = trace.requests[3].clone();
    trace.requests.push(again);
    assert_eq!(broken(&trace), ["accounted for once"], "one request is missing and one is recorded twice");
    let mut trace = sound();
    trace.unsolicited.push(UnsolicitedData { node: 1, at: 5000.0 });
    assert_eq!(broken(&trace), ["one answer in time"]);
    trace.exemptions.push(Exemption { node: 1, span: Span { from: 4900.0, to: 5100.0 } });
    assert_eq!(broken(&trace), Vec::<&str>::new());
    trace.shutdowns.push(Shutdown { node: 0, took: 1999.0 });
    assert_eq!(broken(&trace), Vec::<&str>::new());
    trace.shutdowns[0].took = 2001.0;
    assert_eq!(broken(&trace), ["ends when told"]);
    // A response that a link may have corrupted is not attributed to the node.
    let mut trace = sound();
    trace.requests[50].outcome = Outcome::Wrong;
    trace.corruption_spans.push(Span { from: 4900.0, to: 5100.0 });
    assert_eq!(broken(&trace), Vec::<&str>::new());
}

#[test]
fn forwarded_requests_of_denied_customers_and_wrong_denials_are_detected() {
    let judged = |trace: &Trace| {
        let rules = Rules { denied: Some(|customer| customer == 9), ..rules() };
        check_trace(&rules, trace).2.iter().map(|f| f.rule).collect::<Vec<_>>()
    };
    let mut trace = sound();
    assert_eq!(judged(&trace).len(), 20, "the requests of one customer in ten reached a server");
    trace.executions.retain(|execution| execution.id % 10 != 9);
    trace.requests.iter_mut().filter(|r| r.customer == 9).for_each(|r| r.outcome = Outcome::Denied);
    assert_eq!(judged(&trace), Vec::<&str>::new());
    trace.requests[3].outcome = Outcome::Denied;
    assert_eq!(judged(&trace), ["asks first"]);
}

/// Returns a trace with 20 executions per half second, whose server is chosen by node and time.
fn executions(to: impl Fn(usize, f64) -> usize) -> Trace {
    let mut trace = sound();
    trace.executions.clear();
    for number in 0..800 {
        let (node, at) = (number as usize % 4, 25.0 * f64::from(number));
        // They belong to no request: only their distribution is checked.
        let (id, server) = (1000 + number, to(node, at));
        trace.executions.push(Execution { id, server, node, at, work: 1.0, effect: false, declined: false });
    }
    trace
}

#[test]
fn load_that_oscillates_shifts_for_good_or_differs_within_a_zone_is_detected() {
    let even = |node: usize, at: f64| (node / 2 + (at / 25.0) as usize / 4) % 2;
    assert_eq!(broken(&executions(even)), Vec::<&str>::new());
    assert_eq!(broken(&executions(|_, at| (at / 1000.0) as usize % 2)), ["does not swing"]);
    // Nodes 0 and 2 are in one zone; they disagree for three seconds, then for six.
    let odds = |until: f64| {
        move |node, at: f64| if (3000.0..until).contains(&at) { node / 2 } else { even(node, at) }
    };
    assert_eq!(broken(&executions(odds(6000.0))), Vec::<&str>::new());
    assert_eq!(broken(&executions(odds(9000.0))), ["decides alike"]);
    let mut away = executions(|node, at| if at > 6000.0 { 0 } else { even(node, at) });
    away.faults.push(("cut".into(), Span { from: 6000.0, to: 8000.0 }));
    assert_eq!(broken(&away), ["settles"]);
}

#[test]
fn repeated_effects_and_refusals_after_an_effect_are_detected() {
    // Request 5 is an order, 4 an edit, and 3 a read, which may be executed any number of times.
    for (id, names) in [(5, vec!["no effect twice"]), (4, vec!["no effect twice"]), (3, vec![])] {
        let mut trace = sound();
        run_again(&mut trace, id, 1, 560.0);
        assert_eq!(broken(&trace), names);
        let mut trace = sound();
        trace.requests[id as usize].outcome = Outcome::Refused;
        assert_eq!(broken(&trace), names);
    }
}

#[test]
fn requests_to_a_draining_server_after_the_grace_period_are_detected() {
    let mut trace = sound();
    let drain = Drain { node: 1, server: 3, at: 15_000.0, until: f64::INFINITY };
    trace.drains.push(drain);
    assert_eq!(broken(&trace), ["drains kept"]);
    // No violation if the server is listed again within the grace period, or if another node was told.
    trace.drains[0].until = 16_000.0;
    assert_eq!(broken(&trace), Vec::<&str>::new());
    trace.drains[0] = Drain { node: 0, server: 3, at: 15_000.0, until: f64::INFINITY };
    assert_eq!(broken(&trace), Vec::<&str>::new());
}

#[test]
fn overload_of_a_cold_server_is_detected() {
    let mut trace = sound();
    trace.cold_starts.push((2, 1000.0));
    assert_eq!(broken(&trace), Vec::<&str>::new());
    // 2,500 ms of work at once: with two other requests just above twice the capacity of the cold server.
    for id in [3, 6, 9, 12, 15] {
        trace
            .executions
            .iter_mut()
            .filter(|execution| execution.id == id)
            .for_each(|execution| (execution.server, execution.work, execution.at) = (2, 500.0, 1500.0));
    }
    assert_eq!(broken(&trace), ["cold servers"]);
}

#[test]
fn customer_above_its_ceiling_across_all_nodes_is_detected() {
    let mut trace = sound();
    // Ten first executions within a second, of two units each; allowed are a burst of 8, a gain of 4 and a slack of 2.
    trace.requests[..5].iter_mut().for_each(|r| r.customer = 3);
    assert_eq!(broken(&trace), Vec::<&str>::new());
    trace.requests[..10].iter_mut().for_each(|r| r.customer = 3);
    assert_eq!(broken(&trace), ["ceilings hold"]);
}

#[test]
fn missing_recovery_is_detected_and_harness_delays_make_a_run_void() {
    let mut trace = sound();
    trace.faults.push(("cut".into(), Span { from: 6000.0, to: 8000.0 }));
    trace
        .requests
        .iter_mut()
        .filter(|r| r.scheduled < 8500.0 && r.scheduled > 6000.0)
        .for_each(|r| r.outcome = Outcome::Failed);
    assert_eq!(broken(&trace), Vec::<&str>::new());
    trace.requests.iter_mut().filter(|r| r.scheduled > 16_000.0).for_each(|r| r.outcome = Outcome::Failed);
    assert_eq!(broken(&trace), ["settles"]);
    trace.generator_delays[..10].fill(40.0);
    assert_eq!(check_trace(&rules(), &trace).0, Verdict::Void);
    trace.generator_delays[..10].fill(0.0);
    trace.longest_stall = 51.0;
    assert_eq!(check_trace(&rules(), &trace).0, Verdict::Void);
}
