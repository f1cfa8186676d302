//! Active configuration: its route table, routes and pools. A request finishes under the configuration it started with.

use crate::check_cache::CheckCache;
use crate::failure_limits::FailureLimits;
use crate::order_recorder::OrderRecorder;
use crate::pool::{once_class_name, Pool, ServedClass};
use hyper::header::HeaderName;
use ivygate_config::{Class, CustomerSource, Effect, Identity, Model, Plan, RepeatPolicy};
use ivygate_forward_auth::fold_header_name;
use ivygate_routing::{LookupResult, RouteTable};
use ivygate_runtime::Clock;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

/// Time for which a removed pool may still send the requests it has accepted, in milliseconds. Without it, requests
/// that are about to be sent would be rejected needlessly.
const RETIRE_GRACE_MS: f64 = 500.0;

/// Configuration in use, with its running pools.
pub struct ActiveConfig {
    /// Rules for reading customers, plans and deadlines from requests.
    pub identity: Identity,
    table: RouteTable,
    routes: Vec<Route>,
    plans: Vec<Arc<str>>,
    /// Configured class name of each route, by route number.
    class_names: Vec<Arc<str>>,
    customers: HashMap<String, usize>,
    /// Normalized names of the headers that only sign-in services may set.
    pub sign_in_headers: HashSet<String>,
    /// Normalized names of the headers that the configuration reads or sets.
    pub protected_headers: HashSet<String>,
    /// Pools by name.
    pub pools: HashMap<String, Rc<Pool>>,
}

/// Route in use.
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Class of its requests.
    pub class: Arc<str>,
    /// For keyed classes, the class of requests without a key, and the header that carries the key.
    pub unkeyed: Option<(Arc<str>, HeaderName)>,
    /// Set if its requests must not run twice.
    pub once: bool,
    /// Time limit of its requests, in milliseconds.
    pub deadline: f64,
    /// Additional time limit for streamed bodies, in milliseconds.
    pub upload_allowance: f64,
    /// Quota units per request.
    pub units: f64,
    /// Pool that serves it.
    pub pool: Rc<Pool>,
    /// Index of the route in the configuration.
    pub number: usize,
    /// Latency target of its class, in milliseconds.
    pub latency_target: f64,
    /// Sign-in service that must allow its requests, if any.
    pub sign_in: Option<Rc<SignIn>>,
}

/// Sign-in service in use.
pub struct SignIn {
    /// Configured settings.
    pub settings: ivygate_config::SignIn,
    /// Class of its checks.
    pub class: Arc<str>,
    /// Pool of its servers.
    pub pool: Rc<Pool>,
    /// Cached answers.
    pub check_cache: CheckCache,
    /// Rate limits for failed checks.
    pub failure_limits: FailureLimits,
}

/// Methods assumed for a request whose method is not stated.
const COMMON_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Plan of sign-in checks, which do not count against any customer's quota.
pub const CHECKS: &str = "(checks)";

/// Returns the class of a service's checks. They are safe, since a check has no side effects.
fn check_class(sign_in: &ivygate_config::SignIn) -> Class {
    Class {
        name: format!("(sign-in) {}", sign_in.name),
        effect: Effect::Safe,
        repeat: RepeatPolicy::Sent,
        key_header: String::new(),
        aim: sign_in.within / 2.0,
        deadline: sign_in.within,
        work: sign_in.within / 200.0,
        upload: 0.0,
        worth: 1.0,
        late_worth: 1.0,
        units: 1.0,
        at: ivygate_config::SourceSpan::default(),
    }
}

/// Returns the normalized names of the headers that the configuration reads or sets.
fn protected_headers(model: &Model) -> HashSet<String> {
    let identity = &model.identity;
    let customer = match &identity.customer {
        CustomerSource::Header(name) => Some(name),
        _ => None,
    };
    let named = [customer, identity.plan_header.as_ref(), identity.deadline_header.as_ref()];
    let keys = model.classes.iter().map(|class| &class.key_header).filter(|name| !name.is_empty());
    let sign_in_headers = model.sign_ins.iter().flat_map(|s| &s.answer_headers);
    let ids = model.journal.iter().map(|journal| &journal.id_header);
    named
        .into_iter()
        .flatten()
        .chain(keys)
        .chain(sign_in_headers)
        .chain(ids)
        .map(|name| fold_header_name(name))
        .collect()
}

/// Returns whether requests of a class may be retried only with a key.
fn is_keyed(class: &Class) -> bool {
    matches!(class.effect, Effect::Keyed(..)) && class.repeat == RepeatPolicy::Sent
}

/// Returns whether a route restricts retries further than its class.
fn restricts_retries(route: &ivygate_config::Route, class: &Class) -> bool {
    route.repeat < class.repeat
}

impl ActiveConfig {
    /// Prepares a configuration for use. Pools that differ from those of `before` only in their servers are reused;
    /// they are not modified until [`Self::activate`].
    ///
    /// # Errors
    /// Returns an error if the settings of a pool are invalid, or routes conflict.
    pub fn new(model: &Model, before: Option<&ActiveConfig>, clock: Clock) -> Result<Self, String> {
        let table = RouteTable::build(model.routes.iter().map(|r| r.matcher.clone()).collect());
        let table = table.map_err(|error| error.to_string())?;
        let mut pools = HashMap::new();
        for (number, pool) in model.pools.iter().enumerate() {
            let used: BTreeSet<usize> =
                model.routes.iter().filter(|r| r.pool == number).map(|r| r.class).collect();
            let checks: Vec<Class> =
                model.sign_ins.iter().filter(|s| s.pool == number).map(check_class).collect();
            if used.is_empty() && checks.is_empty() {
                // The pool is not used by any route or sign-in service.
                continue;
            }
            let served = |number: usize| {
                let class = &model.classes[number];
                let narrowed = |r: &&ivygate_config::Route| r.class == number && restricts_retries(r, class);
                ServedClass {
                    class,
                    has_non_repeatable: is_keyed(class) || model.routes.iter().any(|r| narrowed(&r)),
                }
            };
            let mut classes: Vec<ServedClass> = used.into_iter().map(served).collect();
            classes.extend(checks.iter().map(|class| ServedClass { class, has_non_repeatable: false }));
            let mut plans = model.plans.clone();
            if !checks.is_empty() {
                plans.push(Plan::without_quota(CHECKS));
            }
            let old = before.and_then(|active_config| active_config.pools.get(&pool.name));
            let pool = match old.and_then(|old| old.reuse_with(pool, &classes, &plans)) {
                Some(pool) => pool,
                None => Pool::start(pool, &classes, &plans, clock)
                    .map_err(|error| format!("pool {}: {error}", pool.name))?,
            };
            pools.insert(pool.settings.name.clone(), pool);
        }
        let sign_ins: Vec<Rc<SignIn>> = model
            .sign_ins
            .iter()
            .map(|settings| {
                let class = check_class(settings).name.into();
                let pool = pools[&model.pools[settings.pool].name].clone();
                let check_cache = CheckCache::new(settings.cache_size);
                let failure_limits = FailureLimits::new(settings.address_limit, settings.credential_limit);
                Rc::new(SignIn { settings: settings.clone(), class, pool, check_cache, failure_limits })
            })
            .collect();
        let route = |(number, route): (usize, &ivygate_config::Route)| -> Result<Route, String> {
            let class = &model.classes[route.class];
            let restricts_retries = restricts_retries(route, class);
            let key = if is_keyed(class) && !restricts_retries {
                let header = HeaderName::try_from(&class.key_header).map_err(|error| error.to_string())?;
                Some((once_class_name(&class.name).into(), header))
            } else {
                None
            };
            Ok(Route {
                name: route.name.as_str().into(),
                class: if restricts_retries {
                    once_class_name(&class.name).into()
                } else {
                    class.name.as_str().into()
                },
                unkeyed: key,
                once: route.repeat == RepeatPolicy::Unsent,
                deadline: class.deadline,
                upload_allowance: class.upload,
                units: class.units,
                pool: pools[&model.pools[route.pool].name].clone(),
                number,
                latency_target: class.aim,
                sign_in: route.sign_in.map(|number| sign_ins[number].clone()),
            })
        };
        let routes = model.routes.iter().enumerate().map(route).collect::<Result<_, _>>()?;
        Ok(Self {
            identity: model.identity.clone(),
            table,
            routes,
            sign_in_headers: model
                .sign_ins
                .iter()
                .flat_map(|s| &s.answer_headers)
                .map(|name| fold_header_name(name))
                .collect(),
            protected_headers: protected_headers(model),
            class_names: model.routes.iter().map(|r| model.classes[r.class].name.as_str().into()).collect(),
            plans: model.plans.iter().map(|p| p.name.as_str().into()).collect(),
            customers: model.customers.iter().map(|c| (c.name.clone(), c.plan)).collect(),
            pools,
        })
    }

    /// Replaces the configuration `before`: updates the servers of reused pools and retires removed ones.
    pub fn activate(&self, before: &ActiveConfig) {
        for (name, pool) in &self.pools {
            let old = before.pools.get(name);
            if old.is_some_and(|old| Rc::ptr_eq(&old.driver, &pool.driver)) {
                pool.update_servers(old.map(|old| &old.settings));
            }
        }
        for (name, old) in &before.pools {
            let carried = self.pools.get(name).is_some_and(|new| Rc::ptr_eq(&new.driver, &old.driver));
            if !carried {
                old.driver.retire(RETIRE_GRACE_MS);
            }
        }
    }

    /// Makes all pools record their requests that must not run twice.
    pub fn record_in(&self, orders: Option<&Rc<OrderRecorder>>) {
        if let Some(orders) = orders {
            self.pools.values().for_each(|pool| pool.driver.set_recorder(orders.clone()));
        }
    }

    /// Finds the route of a request.
    ///
    /// # Errors
    /// Returns the methods for which routes match the host and path; empty if none does.
    pub fn route(&self, host: &str, path: &str, method: &str) -> Result<&Route, Vec<String>> {
        match self.table.find(host, path, method) {
            LookupResult::Route(number, _) => Ok(&self.routes[number]),
            LookupResult::MethodNotAllowed(methods) => Err(methods),
            LookupResult::NotFound => Err(Vec::new()),
        }
    }

    /// Finds the route of a host and path that is the same for all methods.
    ///
    /// # Errors
    /// Returns the names of the matching routes if the route depends on the method.
    pub fn only_route(&self, host: &str, path: &str) -> Result<&Route, Vec<Arc<str>>> {
        let found = COMMON_METHODS.map(|method| self.route(host, path, method).ok());
        let mut names: Vec<Arc<str>> = found.iter().flatten().map(|route| route.name.clone()).collect();
        names.sort();
        names.dedup();
        match (found[0], names.len()) {
            (Some(route), 1) if found.iter().all(Option::is_some) => Ok(route),
            _ => Err(names),
        }
    }

    /// Returns the configured class name of a route.
    pub fn class_of(&self, route: &Route) -> &Arc<str> {
        &self.class_names[route.number]
    }

    /// Returns the plan of a customer; `given` is the plan named by a trusted peer or sign-in service.
    pub fn plan(&self, customer: &str, given: Option<&str>) -> Arc<str> {
        let given = given.and_then(|given| self.plans.iter().position(|plan| **plan == *given));
        let number = given.or_else(|| self.customers.get(customer).copied());
        self.plans[number.unwrap_or(self.identity.default_plan)].clone()
    }
}
