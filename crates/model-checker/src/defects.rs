//! Defects put in on purpose, into messages, disks and answers and never into the store: what the checker must find.

/// One of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No store knows the highest round that stands.
    NoChosenBallot,
    /// Contact runs from when an answer was read.
    ContactByReading,
    /// A store that lost its disk goes on under its old life.
    OldIncarnation,
    /// A store takes part before it holds all.
    MemberBeforeCatchUp,
    /// A role's epoch is read after its call has ended.
    EpochReadLate,
    /// What is sent again after it was taken is refused.
    ResendRefused,
    /// What stood under an earlier number is forgotten.
    VersionForgotten,
    /// Answers go out before the save.
    AnswerBeforeSave,
    /// A promise is lost at a restart.
    PromiseLost,
    /// A store starts with an older disk.
    StaleSnapshot,
}

impl Defect {
    /// All, with their names.
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

    /// The one of a name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(known, _)| *known == name).map(|(_, defect)| *defect)
    }
}
