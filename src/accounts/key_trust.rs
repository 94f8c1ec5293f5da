//! Decides whether a node may accept keys with the configuration that it has in force.
//!
//! A node has no disk. After a restart it may get an older configuration from a peer than it had before, in which a
//! key is still valid that it has refused already.

use {crate::ids::ConfigVersion, std::time::Duration, thiserror::Error};

/// Reason for which a node accepts no keys at present.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum KeyDoubt {
    /// A newer configuration may have been in force on this node before its start.
    #[error(
        "the configuration may be older than one that was in force on this node before its start"
    )]
    Outdated,
    /// The configuration has not been confirmed by the store for too long.
    #[error("the configuration has not been confirmed by the store for too long")]
    Unconfirmed,
}

/// What a node knows of how current its configuration is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyKnowledge {
    /// Version in force.
    pub version: ConfigVersion,
    /// Highest version that peers remember to have been in force on this node; none before one has been asked.
    pub remembered_version: Option<ConfigVersion>,
    /// Time since the version in force was last known to be the newest of the store; none if it has not been since the
    /// start of the process.
    pub confirmation_age: Option<Duration>,
}

impl KeyKnowledge {
    /// Returns why keys must not be accepted; `longest_age` is the longest age of the confirmation, none if it is not
    /// limited.
    pub fn check(&self, longest_age: Option<Duration>) -> Result<(), KeyDoubt> {
        let is_older = |remembered| self.version < remembered;
        let knows_nothing = self.remembered_version.is_none() && self.confirmation_age.is_none();
        if self.remembered_version.is_some_and(is_older) || knows_nothing {
            return Err(KeyDoubt::Outdated);
        }
        let is_too_old = |limit| self.confirmation_age.is_none_or(|age| age > limit);
        match longest_age.is_some_and(is_too_old) {
            true => Err(KeyDoubt::Unconfirmed),
            false => Ok(()),
        }
    }
}
