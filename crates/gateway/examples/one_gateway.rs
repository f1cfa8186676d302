//! Drives one gateway with a fixed sequence of events, as a gateway that embeds this crate would.

use ivygate_gateway::*;
use ivygate_time::{millis, Timestamp};
use std::sync::Arc;
use std::time::Duration;

const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn main() -> Result<(), SettingsError> {
    let settings = Settings {
        gateways: 1,
        rank: 0,
        zone: "east".into(),
        classes: vec![RequestClass {
            name: "read".into(),
            latency_target: 500.0,
            deadline: 2_000.0,
            value: 1.0,
            late_value: 0.0,
            effect: Effect::Safe,
            initial_work: None,
            key_window: 0.0,
        }],
        plans: vec![Plan { rate: 2.0, burst: 4.0, excess_cost: 0.5, ..Plan::unlimited("basic") }],
        max_attempts: 3,
        allow_hedging: false,
        allow_health_checks: false,
        allow_trial_requests: false,
        retry_budget: RetryBudget::DEFAULT,
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: Some(1_000.0),
        meter_period: Some(1_000.0),
        cross_zone_cost: 0.0,
        slow_start_capacity: 0.2,
        slow_start_duration: 10_000.0,
        overload_factor: 2.0,
        overload_window: 1_000.0,
    };
    let mut gateway = Gateway::new(settings, 42)?;
    let mut actions = Vec::new();
    let server_entry = |server| ServerEntry {
        server,
        zone: "east".into(),
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: None,
        distance_cost: 0.0,
        slow_start: None,
    };
    gateway.handle(
        Timestamp::from_millis(0.0),
        Event::List { kind: ListKind::Full, servers: Arc::from([server_entry(1), server_entry(2)]) },
        &mut actions,
    );
    // One customer sends a request every 100 ms, five times its rate: the burst passes, then about two requests per second.
    for i in 0..30_u32 {
        let now = Timestamp::from_millis(f64::from(i) * 100.0);
        let request: RequestId = format!("r{i}").into();
        let arrival = Arrival {
            request: request.clone(),
            class: "read".into(),
            plan: "basic".into(),
            customer: "acme".into(),
            deadline: now + CLIENT_TIMEOUT,
            units: 1.0,
            gateways: 1,
            zones: None,
            max_attempts: None,
        };
        actions.clear();
        gateway.handle(now, Event::Arrival(arrival), &mut actions);
        for action in std::mem::take(&mut actions) {
            println!("{:6.0} ms  {action:?}", now.as_millis());
            // A real gateway would send the attempt; here it succeeds after 20 ms.
            if let Action::Send { server, .. } = action {
                let done = AttemptResult {
                    request: request.clone(),
                    attempt: 0,
                    server,
                    outcome: Outcome::Ok,
                    elapsed: millis(SERVICE_TIME),
                    is_final: true,
                    metered_percent: None,
                    load: Load::default(),
                };
                gateway.handle(now + SERVICE_TIME, Event::AttemptEnded(done), &mut actions);
            }
        }
    }
    Ok(())
}
