//! Answers other programs that ask whether a request of theirs may go on.
//!
//! The units are taken here and once for each id; the request itself is sent by whoever asked, or by nobody.

use crate::answer::{Held, Words};
use crate::asker::{self, About};
use crate::forward::{Origin, REQUEST_ID};
use crate::front::{bad, chain, class, destination, in_words, Seen, SidecarFront, Unfit, FULL_RETRY_AFTER};
use crate::identity::is_trusted;
use crate::sign_in::strip;
use crate::site::{Route, Site};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::StatusCode;
use ivygate_config::Listener;
use ivygate_forward_auth::AdmissionStatus;
use ivygate_runtime::{one, Admission, Answer, Head};
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest id.
const ID_MOST: usize = 128;

/// Headers of a yes, as they are given again.
pub type Yes = Rc<Vec<(HeaderName, HeaderValue)>>;

/// An id that somebody is asking about; free again if it is dropped without an admission.
struct Pending<'a> {
    front: &'a SidecarFront,
    id: String,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.front.shared.admissions.borrow_mut().release(&self.id);
    }
}

fn forbidden(text: impl Into<String>) -> Words {
    Words::new(StatusCode::FORBIDDEN, text)
}

fn yes(headers: &Yes) -> Words {
    let words = Words::new(StatusCode::OK, "it may go on");
    headers.iter().fold(words, |words, (name, value)| words.with(name.clone(), value.clone()))
}

impl SidecarFront {
    /// Answers a check on a listener that answers nothing else.
    pub(crate) async fn check(
        &self,
        site: &Site,
        listener: &Listener,
        mut parts: Parts,
        has_body: bool,
        (peer, peer_name): (SocketAddr, &str),
        held: &mut Held,
    ) -> Result<Answer, Unfit> {
        let (target, own_host) = destination(&parts)?;
        if Some(&target.path) != listener.answers_checks.as_ref() {
            return Err(Words::new(StatusCode::NOT_FOUND, "this listener answers checks only").into());
        }
        if !is_trusted(&listener.trusted, peer.ip()) {
            return Err(forbidden("checks of trusted peers only are answered here").closing().into());
        }
        if has_body {
            return Err(bad("a check has no body").into());
        }
        let chain = chain(&parts.headers, &self.shared.own)?;
        let about = asker::read(&parts.headers, &own_host).map_err(bad)?;
        let route = route(site, &about)?;
        let id = id(&parts)?;
        let pending = match &id {
            None => None,
            Some(id) => {
                let asked =
                    self.shared.admissions.borrow_mut().begin(route.pool.driver.now().as_millis(), id);
                match asked {
                    AdmissionStatus::New => Some(Pending { front: self, id: id.clone() }),
                    AdmissionStatus::Repeat(headers) => return Err(yes(&headers).into()),
                    AdmissionStatus::NotRepeatable => {
                        let text = "this id was let on before, and must not run twice";
                        return Err(Words::new(StatusCode::CONFLICT, text).into());
                    }
                    AdmissionStatus::Pending => {
                        let text = "this id is being asked about";
                        return Err(Words::new(StatusCode::CONFLICT, text).into());
                    }
                    AdmissionStatus::Full => {
                        let text = "no more ids can be remembered now; nothing was let on";
                        return Err(
                            Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, FULL_RETRY_AFTER).into()
                        );
                    }
                }
            }
        };
        held.take_place(&route.pool)?;
        strip(&mut parts.headers, &site.vouched);
        let origin = Origin { peer: peer_name, trusted: true, host: &about.host, kept: &site.kept };
        let seen = Seen { site, listener, route, origin: &origin, peer, chain: &chain };
        let wait = self.wait(&seen, &parts.headers)?;
        let mut spent = 0.0;
        let mut vouched = Vec::new();
        if let Some(sign_in) = &route.sign_in {
            if sign_in.settings.body.is_some() {
                let text = "the sign-in of this route asks for bodies, and a check has none";
                return Err(forbidden(text).into());
            }
            // A service may decide by it, so none is made up.
            let Some(method) = &about.method else {
                let text =
                    "the method is not told, and this route's sign-in is asked by it: send X-Original-Method";
                return Err(bad(text).into());
            };
            let begun = route.pool.driver.now();
            let path = about.target.path_and_query();
            vouched = self
                .signed_in(&seen, sign_in, (method, path.as_str()), &parts.headers, wait, Default::default())
                .await?;
            spent = route.pool.driver.now().millis_since(begun);
            for (name, value) in &vouched {
                parts.headers.append(name.clone(), value.clone());
            }
        }
        let (customer, plan) = seen.customer_and_plan(&parts.headers)?;
        let (class, once) = class(route, &parts)?;
        let left = (wait - spent).max(0.0);
        let admission = route.pool.driver.admit(Head {
            id: self.shared.id(),
            class: class.clone(),
            plan: plan.clone(),
            customer: customer.clone(),
            units: route.units,
            width: route.pool.settings.sidecars,
            wait: left,
            once,
            zones: None,
            tries: None,
        });
        let server = match admission {
            Admission::Admitted(server) => server,
            Admission::Refused(wait, reason) => {
                return Err(in_words(&Answer::Refused(wait, reason, false)).into());
            }
        };
        let told = [
            ("x-ivygate-route", Some(route.name.to_string())),
            ("x-ivygate-class", Some(site.class_of(route).to_string())),
            ("x-ivygate-customer", Some(customer.to_string())),
            ("x-ivygate-plan", Some(plan.to_string())),
            ("x-ivygate-server", server.map(|address| address.to_string())),
            ("x-ivygate-within", Some(format!("{left:.0}ms"))),
        ];
        let mut headers = vouched;
        for (name, value) in told {
            // A customer's name may hold what no header can.
            if let Some(value) = value.and_then(|value| HeaderValue::try_from(value).ok()) {
                headers.push((HeaderName::from_static(name), value));
            }
        }
        let headers = Rc::new(headers);
        if let Some(pending) = &pending {
            let kept = listener.ids_kept.max(left);
            let now = route.pool.driver.now().as_millis();
            self.shared.admissions.borrow_mut().admit(now, &pending.id, headers.clone(), once, kept);
        }
        Err(yes(&headers).into())
    }
}

/// The route of what is asked about. What no route takes may not go on: askers understand 403, and neither 404 nor 405.
fn route<'a>(site: &'a Site, about: &About) -> Result<&'a Route, Words> {
    let (host, path) = (&about.host, &about.target.path);
    let nothing = || forbidden("no route takes what is asked about");
    let Some(method) = &about.method else {
        return site.only_route(host, path).map_err(|names| {
            if names.is_empty() {
                return nothing();
            }
            let text = format!(
                "the method is not told, and what takes {path} depends on it ({}): send X-Original-Method",
                names.join(", ")
            );
            bad(text)
        });
    };
    site.route(host, path, method.as_str()).map_err(|_| nothing())
}

fn id(parts: &Parts) -> Result<Option<String>, Words> {
    let Some(id) = one(&parts.headers, REQUEST_ID.as_str()).map_err(bad)?.filter(|id| !id.is_empty()) else {
        return Ok(None);
    };
    if id.len() > ID_MOST {
        return Err(bad("the id is too long"));
    }
    Ok(Some(id.to_owned()))
}
