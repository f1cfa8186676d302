//! Readings of the platform's list of servers, while the coordinator role is held here.

use super::node::{RegistryNode, PEER_TIMEOUT};
use crate::server_list::{ServerListFetch, ServerListPage};
use ivygate_rpc::{ErrorKind, RpcError};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Interval of readings, where the platform allows it.
const READING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval in which it is looked whether the role is held here.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The part of the platform's calls a second that is used.
const CALL_RATE_RATIO: f64 = 0.5;
/// Most pages of one reading.
const MAX_PAGES: usize = 1_000;
/// The path of the list's pages.
const LIST_PATH: &str = "/instances";

impl RegistryNode {
    /// Reads the list again and again, while that is this registry's role.
    pub async fn read_server_list(self: Rc<Self>) {
        let Some(list) = self.settings.cloud.clone() else { return };
        loop {
            let Some(reading) = self.start_reading() else {
                sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            };
            let begun = Instant::now();
            let mut pages = 0;
            match self.read_pages(list.address, &mut pages, reading).await {
                Ok(reading) => self.apply_reading(reading),
                Err(error) => tracing::debug!(address = %list.address, %error, "server list not read"),
            }
            let least = Duration::from_secs_f64(pages.max(1) as f64 / (list.rate_per_s * CALL_RATE_RATIO));
            sleep(least.max(READING_INTERVAL).saturating_sub(begun.elapsed())).await;
        }
    }

    fn start_reading(&self) -> Option<ServerListFetch> {
        let items = self.replica.items();
        let registry = self.registry.borrow();
        let reading = || ServerListFetch::new(self.now(), registry.epoch(), items.last_change());
        registry.holds_role(&items).then(reading)
    }

    async fn read_pages(
        &self,
        address: SocketAddr,
        pages: &mut usize,
        mut reading: ServerListFetch,
    ) -> Result<ServerListFetch, RpcError> {
        let mut path = LIST_PATH.to_owned();
        for _ in 0..MAX_PAGES {
            *pages += 1;
            let page: ServerListPage = self.client.get(address, &path, PEER_TIMEOUT).await?;
            reading.add_page(self.now(), page.rows());
            let Some(cursor) = page.next_cursor else { return Ok(reading) };
            let query =
                form_urlencoded::Serializer::new(String::new()).append_pair("pageToken", &cursor).finish();
            path = format!("{LIST_PATH}?{query}");
        }
        Err(RpcError::new(ErrorKind::TooLarge, "the platform's list has too many pages"))
    }

    fn apply_reading(self: &Rc<Self>, reading: ServerListFetch) {
        let changes =
            self.registry.borrow_mut().apply_server_list(self.now(), &self.replica.items(), reading);
        self.publish(changes);
    }
}
