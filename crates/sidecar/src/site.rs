//! One configuration at work: its table, its routes, its pools. Requests end under the site they began with.

use crate::floods::Floods;
use crate::orders::Orders;
use crate::pool::{once, Pool, Served};
use crate::remembered::Remembered;
use hyper::header::HeaderName;
use ivygate_config::{Class, CustomerSource, Effect, Identity, Model, Plan, RepeatPolicy};
use ivygate_forward_auth::folded;
use ivygate_routing::{LookupResult, RouteTable};
use ivygate_runtime::Clock;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

/// How long a pool that is left behind may still send on what it had taken. Requests that are just being sent
/// would else be refused for nothing.
const RETIRE_GRACE: f64 = 500.0;

/// One configuration at work.
pub struct Site {
    /// How customers, plans and deadlines are read.
    pub identity: Identity,
    table: RouteTable,
    routes: Vec<Route>,
    plans: Vec<Arc<str>>,
    /// The class of each route, as the configuration names it.
    class_names: Vec<Arc<str>>,
    customers: HashMap<String, usize>,
    /// Headers that only sign-in services set, folded.
    pub vouched: HashSet<String>,
    /// Folded names of headers that the configuration reads or sets.
    pub kept: HashSet<String>,
    /// The pools by their names.
    pub pools: HashMap<String, Rc<Pool>>,
}

/// A route at work.
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// Its class for requests without a key, and the header that would carry one; keyed classes only.
    pub unkeyed: Option<(Arc<str>, HeaderName)>,
    /// Whether its requests must never run twice.
    pub once: bool,
    /// Its class's deadline.
    pub deadline: f64,
    /// What is added to that where a body is streamed.
    pub upload: f64,
    /// Units that a request takes.
    pub units: f64,
    /// Its pool.
    pub pool: Rc<Pool>,
    /// Its number, for telling routes apart.
    pub number: usize,
    /// Its class's aim.
    pub aim: f64,
    /// The service that is asked first.
    pub sign_in: Option<Rc<SignIn>>,
}

/// A sign-in service at work.
pub struct SignIn {
    /// Its part of the configuration.
    pub settings: ivygate_config::SignIn,
    /// The class of its checks.
    pub class: Arc<str>,
    /// The pool of its servers.
    pub pool: Rc<Pool>,
    /// What it has answered.
    pub remembered: Remembered,
    /// What has failed of late.
    pub floods: Floods,
}

/// Methods that a request may have whose method is not told.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// The plan of checks: they take nothing from anybody's quota.
pub const CHECKS: &str = "(checks)";

/// The class of a service's checks: safe, since asking changes nothing.
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

/// Headers that the configuration reads or sets, by their folded names.
fn kept(model: &Model) -> HashSet<String> {
    let identity = &model.identity;
    let customer = match &identity.customer {
        CustomerSource::Header(name) => Some(name),
        _ => None,
    };
    let named = [customer, identity.plan_header.as_ref(), identity.deadline_header.as_ref()];
    let keys = model.classes.iter().map(|class| &class.key_header).filter(|name| !name.is_empty());
    let vouched = model.sign_ins.iter().flat_map(|s| &s.answer_headers);
    let ids = model.journal.iter().map(|journal| &journal.id_header);
    named.into_iter().flatten().chain(keys).chain(vouched).chain(ids).map(|name| folded(name)).collect()
}

/// Whether repeats depend on a key.
fn is_keyed(class: &Class) -> bool {
    matches!(class.effect, Effect::Keyed(..)) && class.repeat == RepeatPolicy::Sent
}

/// Whether a route's requests may be repeated after less than its class says.
fn narrows(route: &ivygate_config::Route, class: &Class) -> bool {
    route.repeat < class.repeat
}

impl Site {
    /// Puts a configuration to work. Pools that another site has unchanged, but for their servers, carry on;
    /// nothing happens to them before [`Self::begin`].
    ///
    /// # Errors
    /// If a decision module cannot act on its settings, or routes contradict each other.
    pub fn new(model: &Model, before: Option<&Site>, clock: Clock) -> Result<Self, String> {
        let table = RouteTable::build(model.routes.iter().map(|r| r.matcher.clone()).collect());
        let table = table.map_err(|error| error.to_string())?;
        let mut pools = HashMap::new();
        for (number, pool) in model.pools.iter().enumerate() {
            let used: BTreeSet<usize> =
                model.routes.iter().filter(|r| r.pool == number).map(|r| r.class).collect();
            let checks: Vec<Class> =
                model.sign_ins.iter().filter(|s| s.pool == number).map(check_class).collect();
            if used.is_empty() && checks.is_empty() {
                // No route leads there.
                continue;
            }
            let served = |number: usize| {
                let class = &model.classes[number];
                let narrowed = |r: &&ivygate_config::Route| r.class == number && narrows(r, class);
                Served { class, once: is_keyed(class) || model.routes.iter().any(|r| narrowed(&r)) }
            };
            let mut classes: Vec<Served> = used.into_iter().map(served).collect();
            classes.extend(checks.iter().map(|class| Served { class, once: false }));
            let mut plans = model.plans.clone();
            if !checks.is_empty() {
                plans.push(Plan::without_quota(CHECKS));
            }
            let old = before.and_then(|site| site.pools.get(&pool.name));
            let pool = match old.and_then(|old| old.carried_on(pool, &classes, &plans)) {
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
                let remembered = Remembered::new(settings.cache_size);
                let floods = Floods::new(settings.address_limit, settings.credential_limit);
                Rc::new(SignIn { settings: settings.clone(), class, pool, remembered, floods })
            })
            .collect();
        let route = |(number, route): (usize, &ivygate_config::Route)| -> Result<Route, String> {
            let class = &model.classes[route.class];
            let narrows = narrows(route, class);
            let key = if is_keyed(class) && !narrows {
                let header = HeaderName::try_from(&class.key_header).map_err(|error| error.to_string())?;
                Some((once(&class.name).into(), header))
            } else {
                None
            };
            Ok(Route {
                name: route.name.as_str().into(),
                class: if narrows { once(&class.name).into() } else { class.name.as_str().into() },
                unkeyed: key,
                once: route.repeat == RepeatPolicy::Unsent,
                deadline: class.deadline,
                upload: class.upload,
                units: class.units,
                pool: pools[&model.pools[route.pool].name].clone(),
                number,
                aim: class.aim,
                sign_in: route.sign_in.map(|number| sign_ins[number].clone()),
            })
        };
        let routes = model.routes.iter().enumerate().map(route).collect::<Result<_, _>>()?;
        Ok(Self {
            identity: model.identity.clone(),
            table,
            routes,
            vouched: model.sign_ins.iter().flat_map(|s| &s.answer_headers).map(|name| folded(name)).collect(),
            kept: kept(model),
            class_names: model.routes.iter().map(|r| model.classes[r.class].name.as_str().into()).collect(),
            plans: model.plans.iter().map(|p| p.name.as_str().into()).collect(),
            customers: model.customers.iter().map(|c| (c.name.clone(), c.plan)).collect(),
            pools,
        })
    }

    /// Takes over from another site: tells pools of their servers, and ends those that are left behind.
    pub fn begin(&self, before: &Site) {
        for (name, pool) in &self.pools {
            let old = before.pools.get(name);
            if old.is_some_and(|old| Rc::ptr_eq(&old.driver, &pool.driver)) {
                pool.list(old.map(|old| &old.settings));
            }
        }
        for (name, old) in &before.pools {
            let carried = self.pools.get(name).is_some_and(|new| Rc::ptr_eq(&new.driver, &old.driver));
            if !carried {
                old.driver.retire(RETIRE_GRACE);
            }
        }
    }

    /// Has all pools record their requests that must not run twice.
    pub fn record_in(&self, orders: Option<&Rc<Orders>>) {
        if let Some(orders) = orders {
            self.pools.values().for_each(|pool| pool.driver.set_recorder(orders.clone()));
        }
    }

    /// The route that takes a request.
    ///
    /// # Errors
    /// With the methods that the path is claimed for, none if it is not claimed at all.
    pub fn route(&self, host: &str, path: &str, method: &str) -> Result<&Route, Vec<String>> {
        match self.table.find(host, path, method) {
            LookupResult::Route(number, _) => Ok(&self.routes[number]),
            LookupResult::MethodNotAllowed(methods) => Err(methods),
            LookupResult::NotFound => Err(Vec::new()),
        }
    }

    /// The only route that takes a host and path, whatever the method.
    ///
    /// # Errors
    /// With the names of those that take it by some methods, if it depends on them.
    pub fn only_route(&self, host: &str, path: &str) -> Result<&Route, Vec<Arc<str>>> {
        let found = METHODS.map(|method| self.route(host, path, method).ok());
        let mut names: Vec<Arc<str>> = found.iter().flatten().map(|route| route.name.clone()).collect();
        names.sort();
        names.dedup();
        match (found[0], names.len()) {
            (Some(route), 1) if found.iter().all(Option::is_some) => Ok(route),
            _ => Err(names),
        }
    }

    /// A route's class as the configuration names it.
    pub fn class_of(&self, route: &Route) -> &Arc<str> {
        &self.class_names[route.number]
    }

    /// The plan of a customer; `told` is what a trusted peer said.
    pub fn plan(&self, customer: &str, told: Option<&str>) -> Arc<str> {
        let told = told.and_then(|told| self.plans.iter().position(|plan| **plan == *told));
        let number = told.or_else(|| self.customers.get(customer).copied());
        self.plans[number.unwrap_or(self.identity.default_plan)].clone()
    }
}
