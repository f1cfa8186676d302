//! How long a side may pause in the middle of a body.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// A side sent nothing for too long in the middle of a body.
#[derive(Debug)]
pub struct Stalled;

impl fmt::Display for Stalled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a body stood still for too long")
    }
}

impl std::error::Error for Stalled {}

/// Watches over the pauses of a body. Its time runs only while something is waited for.
pub struct StallTimer {
    most: Duration,
    /// Made at the first pause; most bodies come at once.
    timer: Option<Pin<Box<Sleep>>>,
    owed: bool,
}

impl StallTimer {
    /// Allows pauses of this length.
    pub fn new(most: Duration) -> Self {
        Self { most, timer: None, owed: false }
    }

    /// Something has come.
    pub fn reset(&mut self) {
        self.owed = false;
    }

    /// Nothing is there yet: ready when that has been so for too long.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<Stalled> {
        let most = self.most;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(most)));
        if !self.owed {
            self.owed = true;
            timer.as_mut().reset(Instant::now() + most);
        }
        timer.as_mut().poll(cx).map(|()| Stalled)
    }
}
