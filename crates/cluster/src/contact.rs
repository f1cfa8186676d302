//! How long ago a copy was surely in touch with more than half of the core, counted from when that was asked.

use crate::Millis;

/// An age that stands for "never".
const NEVER: Millis = 86_400_000.0;

/// How old an answer is when it is read: the age that it tells, and all the time since the question but what the one
/// that answered says it held it for. Never less than the age told, whatever is said of holding.
pub fn age_when_read(asked: Millis, now: Millis, age: Millis, held: Millis) -> Millis {
    age.max(0.0) + (now - asked - held.max(0.0)).max(0.0)
}

/// The last contact of a copy with more than half of the core.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    at: Option<Millis>,
}

impl Contact {
    /// It was in touch so long ago; what is older than what is known changes nothing.
    pub fn freshen(&mut self, now: Millis, age: Millis) {
        let at = now - age.clamp(0.0, NEVER);
        if self.at.is_none_or(|known| at > known) {
            self.at = Some(at);
        }
    }

    /// How long ago that was.
    pub fn age(&self, now: Millis) -> Millis {
        self.at.map_or(NEVER, |at| (now - at).clamp(0.0, NEVER))
    }
}
