//! Seeded defects in messages, disks and replies, never in the store, which the checker must find.

/// A seeded defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Proposers do not know the highest chosen round, so that a superseded proposal appears newer.
    NoChosenBallot,
    /// The age of contact is measured from the time at which a reply was read.
    ContactByReading,
    /// A store that lost its disk continues under its old incarnation.
    OldIncarnation,
    /// A store becomes a member before it has every chosen item.
    MemberBeforeCatchUp,
    /// A role's epoch is read after the call that acquired it has ended.
    EpochReadLate,
    /// A repeated update that was already acknowledged is rejected.
    ResendRefused,
    /// The contents of earlier versions are forgotten.
    VersionForgotten,
    /// Replies are sent before the state is saved.
    AnswerBeforeSave,
    /// Promises are lost at a restart.
    PromiseLost,
    /// A store restarts from an older state of its disk.
    StaleSnapshot,
}

impl Defect {
    /// All defects with their names.
    pub const ALL: [(&'static str, Self); 10] = [
        ("no-standing-ballot", Self::NoChosenBallot),
        ("contact-by-reading", Self::ContactByReading),
        ("old-life", Self::OldIncarnation),
        ("member-before-all", Self::MemberBeforeCatchUp),
        ("epoch-read-late", Self::EpochReadLate),
        ("resend-refused", Self::ResendRefused),
        ("number-forgotten", Self::VersionForgotten),
        ("answer-before-save", Self::AnswerBeforeSave),
        ("promise-lost", Self::PromiseLost),
        ("stale-snapshot", Self::StaleSnapshot),
    ];

    /// Returns the defect with this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(known, _)| *known == name).map(|(_, defect)| *defect)
    }
}
