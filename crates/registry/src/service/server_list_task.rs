//! Periodic fetches of the platform's server list while the coordinator role is held here.

use super::node::{RegistryNode, PEER_TIMEOUT};
use crate::server_list::{ServerListFetch, ServerListPage};
use ivygate_rpc::{ErrorKind, RpcError};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Interval of fetches, unless the platform's rate limit requires a longer one.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of checks for the role while it is not held here.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the platform's rate limit that is used.
const CALL_RATE_RATIO: f64 = 0.5;
/// Maximum number of pages in one fetch.
const MAX_PAGES: usize = 1_000;
/// Path of the list's pages.
const LIST_PATH: &str = "/instances";

impl RegistryNode {
    /// Fetches the list periodically while this registry holds the coordinator role.
    pub async fn fetch_server_list(self: Rc<Self>) {
        let Some(list) = self.settings.cloud.clone() else { return };
        loop {
            let Some(fetch) = self.start_fetch() else {
                sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            };
            let started_at = Instant::now();
            let mut pages = 0;
            match self.fetch_pages(list.address, &mut pages, fetch).await {
                Ok(fetch) => self.apply_fetch(fetch),
                Err(error) => tracing::debug!(address = %list.address, %error, "server list not read"),
            }
            let min_interval =
                Duration::from_secs_f64(pages.max(1) as f64 / (list.rate_per_s * CALL_RATE_RATIO));
            sleep(min_interval.max(FETCH_INTERVAL).saturating_sub(started_at.elapsed())).await;
        }
    }

    fn start_fetch(&self) -> Option<ServerListFetch> {
        let items = self.replica.items();
        let registry = self.registry.borrow();
        let fetch = || ServerListFetch::new(self.now(), registry.epoch(), items.last_change());
        registry.holds_role(&items).then(fetch)
    }

    async fn fetch_pages(
        &self,
        address: SocketAddr,
        pages: &mut usize,
        mut fetch: ServerListFetch,
    ) -> Result<ServerListFetch, RpcError> {
        let mut path = LIST_PATH.to_owned();
        for _ in 0..MAX_PAGES {
            *pages += 1;
            let page: ServerListPage = self.client.get(address, &path, PEER_TIMEOUT).await?;
            fetch.add_page(self.now(), page.rows());
            let Some(cursor) = page.next_cursor else { return Ok(fetch) };
            let query =
                form_urlencoded::Serializer::new(String::new()).append_pair("pageToken", &cursor).finish();
            path = format!("{LIST_PATH}?{query}");
        }
        Err(RpcError::new(ErrorKind::TooLarge, "the platform's server list has too many pages"))
    }

    fn apply_fetch(self: &Rc<Self>, fetch: ServerListFetch) {
        let changes = self.registry.borrow_mut().apply_server_list(self.now(), &self.replica.items(), fetch);
        self.publish(changes);
    }
}
