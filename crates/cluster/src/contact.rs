//! Age of a replica's last confirmed contact with a quorum of the store, counted from the time of the request.

use ivygate_time::Timestamp;

/// Age returned if there was never any contact, in milliseconds.
const NEVER_MS: f64 = 86_400_000.0;

/// Computes the contact age stated in a response as of the time it is read, in milliseconds.
///
/// The result is the stated age plus the time since the request, without the time for which the responding process held the
/// request. It is never below the stated age.
pub fn contact_age_on_receipt_ms(requested_at: Timestamp, now: Timestamp, age_ms: f64, held_ms: f64) -> f64 {
    age_ms.max(0.0) + (now.millis_since(requested_at) - held_ms.max(0.0)).max(0.0)
}

/// Time of the last confirmed contact with a quorum of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuorumContact {
    last: Option<Timestamp>,
}

impl QuorumContact {
    /// Records contact of the given age in milliseconds. Contact older than the recorded one is ignored.
    pub fn record(&mut self, now: Timestamp, age_ms: f64) {
        let contact = now.minus_millis(age_ms.clamp(0.0, NEVER_MS));
        if self.last.is_none_or(|last| contact > last) {
            self.last = Some(contact);
        }
    }

    /// Returns whether this contact is newer than another by at least `step_ms` milliseconds.
    pub fn is_newer_by(&self, other: &Self, step_ms: f64) -> bool {
        match (self.last, other.last) {
            (Some(last), Some(other)) => last.millis_since(other) >= step_ms,
            (last, _) => last.is_some(),
        }
    }

    /// Returns the age of the last contact in milliseconds; one day if there was none.
    pub fn age_ms(&self, now: Timestamp) -> f64 {
        self.last.map_or(NEVER_MS, |last| now.millis_since(last).clamp(0.0, NEVER_MS))
    }
}
