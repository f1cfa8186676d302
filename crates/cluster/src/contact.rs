//! How long ago a replica of control state was surely in contact with a quorum of the store, counted from when that was asked.

use ivygate_time::Timestamp;

/// An age that stands for "never", in milliseconds.
const NEVER_MS: f64 = 86_400_000.0;

/// The age of contact that an answer tells, at the moment at which it is read, in milliseconds: the age told, and all the time
/// since the request but what the answering process says it held the request for. It is never less than the age told.
pub fn contact_age_on_receipt_ms(asked: Timestamp, now: Timestamp, age_ms: f64, held_ms: f64) -> f64 {
    age_ms.max(0.0) + (now.millis_since(asked) - held_ms.max(0.0)).max(0.0)
}

/// The last contact with a quorum of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuorumContact {
    last: Option<Timestamp>,
}

impl QuorumContact {
    /// There was contact so long ago; what is older than what is known changes nothing.
    pub fn record(&mut self, now: Timestamp, age_ms: f64) {
        let contact = now.minus_millis(age_ms.clamp(0.0, NEVER_MS));
        if self.last.is_none_or(|last| contact > last) {
            self.last = Some(contact);
        }
    }

    /// How long ago that was, in milliseconds; a day where it never was.
    pub fn age_ms(&self, now: Timestamp) -> f64 {
        self.last.map_or(NEVER_MS, |last| now.millis_since(last).clamp(0.0, NEVER_MS))
    }
}
