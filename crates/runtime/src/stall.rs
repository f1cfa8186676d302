//! Timeout for pauses in the middle of a body.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Error for a body of which nothing was received for too long.
#[derive(Debug)]
pub struct Stalled;

impl fmt::Display for Stalled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("nothing was received of a body for too long")
    }
}

impl std::error::Error for Stalled {}

/// Limits the pauses of a body. The time runs only while the reader waits for data.
pub struct StallTimer {
    max_pause: Duration,
    /// Created at the first pause, since most bodies arrive without one.
    timer: Option<Pin<Box<Sleep>>>,
    is_waiting: bool,
}

impl StallTimer {
    /// Creates a timer that allows pauses of this length.
    pub fn new(max_pause: Duration) -> Self {
        Self { max_pause, timer: None, is_waiting: false }
    }

    /// Notes that data was received.
    pub fn reset(&mut self) {
        self.is_waiting = false;
    }

    /// Polls the timer while no data is available; ready when the pause has lasted too long.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<Stalled> {
        let max_pause = self.max_pause;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(max_pause)));
        if !self.is_waiting {
            self.is_waiting = true;
            timer.as_mut().reset(Instant::now() + max_pause);
        }
        timer.as_mut().poll(cx).map(|()| Stalled)
    }
}
