//! Responses of the platform's protocol, with the hints in their headers.

use super::response::BufferedResponse;
use super::AttemptEnd;
use hyper::header::{HeaderName, CONTENT_TYPE};
use hyper::{HeaderMap, StatusCode};
use ivygate_gateway::{Load, Outcome};
use serde::Deserialize;

/// Highest plausible usage, in percent; greater values are ignored as errors.
const MAX_USAGE_PERCENT: f64 = 100_000.0;
/// Highest plausible number of requests that a server reports to have; greater values are ignored as errors.
const MAX_REPORTED_REQUESTS: f64 = 100_000.0;

const API_USAGE: HeaderName = HeaderName::from_static("api-usage");
const SRV_LOAD: HeaderName = HeaderName::from_static("srv-load");

impl AttemptEnd {
    /// Reads the usage and load headers of a response. A malformed one is ignored: these are hints, and the
    /// response itself is complete.
    pub(super) fn read_hints(&mut self, headers: &HeaderMap) {
        let usage = headers.get(API_USAGE).and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse().ok());
        self.metered_percent = usage.filter(|u: &f64| (0.0..=MAX_USAGE_PERCENT).contains(u));
        let load = headers.get(SRV_LOAD).and_then(|v| serde_json::from_slice(v.as_bytes()).ok());
        self.load = load.map_or_else(Load::default, LoadReport::load);
    }
}

/// Classifies a response of the platform's protocol.
pub(super) fn platform_attempt_end(response: BufferedResponse) -> AttemptEnd {
    let headers = &response.headers;
    let is_declined = headers.get("srv-declined").is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match response.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => Outcome::Rejected,
        // The request is at fault, not the server.
        status if status.is_client_error() => Outcome::Unusable,
        _ => Outcome::Error,
    };
    let mut end = AttemptEnd::without_response(outcome);
    end.read_hints(headers);
    end.content_type = headers.get(CONTENT_TYPE).cloned();
    end.body = response.body;
    end
}

/// The fields of a server's load report that are used.
#[derive(Deserialize)]
struct LoadReport {
    inflight: Option<f64>,
    queue: Option<f64>,
    util: Option<f64>,
    latency_ms: Option<f64>,
}

impl LoadReport {
    fn load(self) -> Load {
        let up_to = |v: Option<f64>, max: f64| v.filter(|v| (0.0..=max).contains(v));
        Load {
            in_flight: up_to(self.inflight, MAX_REPORTED_REQUESTS),
            queue: up_to(self.queue, MAX_REPORTED_REQUESTS),
            // Values somewhat above 1 are measurement noise.
            utilization: up_to(self.util, 2.0),
            service_time: up_to(self.latency_ms, f64::MAX),
        }
    }
}
