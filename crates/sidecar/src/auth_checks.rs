//! Answers forward-auth checks of other proxies about their requests.
//!
//! The quota units are charged here, once per request id; the request itself is sent by the other proxy, or not at all.

use crate::active_config::{ActiveConfig, Route};
use crate::forward::{Origin, REQUEST_ID};
use crate::forwarded_request::{self, ForwardedRequest};
use crate::front::{
    bad_request, chain, destination, gateway_error_response, request_class, EarlyResponse, RequestContext,
    SidecarFront, FULL_RETRY_AFTER_MS,
};
use crate::identity::is_trusted;
use crate::response::{HeldResources, TextResponse};
use crate::sign_in::strip_sign_in_headers;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::StatusCode;
use ivygate_config::Listener;
use ivygate_forward_auth::AdmissionStatus;
use ivygate_runtime::{single_value, Admission, FinalResponse, Head};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum length of a request id.
const MAX_ID_BYTES: usize = 128;

/// Headers of an allow response, shared so that they can be repeated.
pub type AllowHeaders = Rc<Vec<(HeaderName, HeaderValue)>>;

/// Id of a check in progress; released on drop, unless it has been admitted.
struct PendingAdmission<'a> {
    front: &'a SidecarFront,
    id: String,
}

impl Drop for PendingAdmission<'_> {
    fn drop(&mut self) {
        self.front.shared.admissions.borrow_mut().release(&self.id);
    }
}

fn forbidden(text: impl Into<String>) -> TextResponse {
    TextResponse::new(StatusCode::FORBIDDEN, text)
}

fn allow_response(headers: &AllowHeaders) -> TextResponse {
    let response = TextResponse::new(StatusCode::OK, "it may go on");
    headers.iter().fold(response, |response, (name, value)| response.with_header(name.clone(), value.clone()))
}

impl SidecarFront {
    /// Answers a check on a listener dedicated to checks.
    pub(crate) async fn check(
        &self,
        active_config: &ActiveConfig,
        listener: &Listener,
        mut parts: Parts,
        has_body: bool,
        (peer, peer_ip): (SocketAddr, &str),
        resources: &mut HeldResources,
    ) -> Result<FinalResponse, EarlyResponse> {
        let (target, own_host) = destination(&parts)?;
        if Some(&target.path) != listener.answers_checks.as_ref() {
            return Err(TextResponse::new(StatusCode::NOT_FOUND, "this listener answers checks only").into());
        }
        if !is_trusted(&listener.trusted, peer.ip()) {
            return Err(forbidden("checks of trusted peers only are answered here").closing().into());
        }
        if has_body {
            return Err(bad_request("a check has no body").into());
        }
        let chain = chain(&parts.headers, &self.shared.instance_id)?;
        let forwarded = forwarded_request::parse(&parts.headers, &own_host).map_err(bad_request)?;
        let route = route(active_config, &forwarded)?;
        let id = request_id(&parts)?;
        let pending = match &id {
            None => None,
            Some(id) => {
                let status =
                    self.shared.admissions.borrow_mut().begin(route.pool.driver.now().as_millis(), id);
                match status {
                    AdmissionStatus::New => Some(PendingAdmission { front: self, id: id.clone() }),
                    AdmissionStatus::Repeat(headers) => return Err(allow_response(&headers).into()),
                    AdmissionStatus::NotRepeatable => {
                        let text = "this id was let on before, and must not run twice";
                        return Err(TextResponse::new(StatusCode::CONFLICT, text).into());
                    }
                    AdmissionStatus::Pending => {
                        let text = "this id is being asked about";
                        return Err(TextResponse::new(StatusCode::CONFLICT, text).into());
                    }
                    AdmissionStatus::Full => {
                        let text = "no more ids can be remembered now; nothing was let on";
                        return Err(TextResponse::retry_later(
                            StatusCode::SERVICE_UNAVAILABLE,
                            text,
                            FULL_RETRY_AFTER_MS,
                        )
                        .into());
                    }
                }
            }
        };
        resources.acquire_slot(&route.pool)?;
        strip_sign_in_headers(&mut parts.headers, &active_config.sign_in_headers);
        let origin = Origin {
            peer: peer_ip,
            trusted: true,
            host: &forwarded.host,
            protected_headers: &active_config.protected_headers,
        };
        let context = RequestContext { active_config, listener, route, origin: &origin, peer, chain: &chain };
        let wait = self.wait(&context, &parts.headers)?;
        let mut check_time = 0.0;
        let mut sign_in_headers = Vec::new();
        if let Some(sign_in) = &route.sign_in {
            if sign_in.settings.body.is_some() {
                let text = "the sign-in of this route asks for bodies, and a check has none";
                return Err(forbidden(text).into());
            }
            // The sign-in service may decide by the method, so no default is assumed.
            let Some(method) = &forwarded.method else {
                let text =
                    "the method is not told, and this route's sign-in is asked by it: send X-Original-Method";
                return Err(bad_request(text).into());
            };
            let started_at = route.pool.driver.now();
            let path = forwarded.target.path_and_query();
            sign_in_headers = self
                .check_sign_in(
                    &context,
                    sign_in,
                    (method, path.as_str()),
                    &parts.headers,
                    wait,
                    Default::default(),
                )
                .await?;
            check_time = route.pool.driver.now().millis_since(started_at);
            for (name, value) in &sign_in_headers {
                parts.headers.append(name.clone(), value.clone());
            }
        }
        let (customer, plan) = context.customer_and_plan(&parts.headers)?;
        let (class, once) = request_class(route, &parts)?;
        let remaining = (wait - check_time).max(0.0);
        let admission = route.pool.driver.admit(Head {
            id: self.shared.new_request_id(),
            class: class.clone(),
            plan: plan.clone(),
            customer: customer.clone(),
            units: route.units,
            gateways: route.pool.settings.sidecars,
            timeout: remaining,
            at_most_once: once,
            zones: None,
            max_attempts: None,
        });
        let server = match admission {
            Admission::Admitted(server) => server,
            Admission::Refused(wait, reason) => {
                return Err(gateway_error_response(&FinalResponse::Refused(wait, reason, false)).into());
            }
        };
        let fields = [
            ("x-ivygate-route", Some(route.name.to_string())),
            ("x-ivygate-class", Some(active_config.class_of(route).to_string())),
            ("x-ivygate-customer", Some(customer.to_string())),
            ("x-ivygate-plan", Some(plan.to_string())),
            ("x-ivygate-server", server.map(|address| address.to_string())),
            ("x-ivygate-within", Some(format!("{remaining:.0}ms"))),
        ];
        let mut headers = sign_in_headers;
        for (name, value) in fields {
            // A customer's name may contain characters that are not allowed in headers.
            if let Some(value) = value.and_then(|value| HeaderValue::try_from(value).ok()) {
                headers.push((HeaderName::from_static(name), value));
            }
        }
        let headers = Rc::new(headers);
        if let Some(pending) = &pending {
            let ttl = listener.ids_kept.max(remaining);
            let now = route.pool.driver.now().as_millis();
            self.shared.admissions.borrow_mut().admit(now, &pending.id, headers.clone(), once, ttl);
        }
        Err(allow_response(&headers).into())
    }
}

/// Finds the route of the described request. An unmatched one is denied with 403, since proxies expect neither 404 nor
/// 405 from a check.
fn route<'a>(
    active_config: &'a ActiveConfig,
    forwarded: &ForwardedRequest,
) -> Result<&'a Route, TextResponse> {
    let (host, path) = (&forwarded.host, &forwarded.target.path);
    let no_route = || forbidden("no route takes what is asked about");
    let Some(method) = &forwarded.method else {
        return active_config.only_route(host, path).map_err(|names| {
            if names.is_empty() {
                return no_route();
            }
            let text = format!(
                "the method is not told, and what takes {path} depends on it ({}): send X-Original-Method",
                names.join(", ")
            );
            bad_request(text)
        });
    };
    active_config.route(host, path, method.as_str()).map_err(|_| no_route())
}

fn request_id(parts: &Parts) -> Result<Option<String>, TextResponse> {
    let Some(id) =
        single_value(&parts.headers, REQUEST_ID.as_str()).map_err(bad_request)?.filter(|id| !id.is_empty())
    else {
        return Ok(None);
    };
    if id.len() > MAX_ID_BYTES {
        return Err(bad_request("the id is too long"));
    }
    Ok(Some(id.to_owned()))
}
