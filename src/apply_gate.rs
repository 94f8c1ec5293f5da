//! Holds the configuration in force, the one by which this node routes calls, and decides whether a newer one
//! replaces it. No other module changes it.

use {
    crate::{
        active_config::ActiveConfig,
        config::{ConfigError, ConfigSnapshot},
        ids::ConfigVersion,
    },
    arc_swap::ArcSwap,
    derive_more::Display,
    parking_lot::Mutex,
    std::sync::Arc,
    thiserror::Error,
    tokio::sync::watch,
};

/// Source from which a node received a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConfigSource {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another node, by name.
    #[display("peer {_0}")]
    Peer(String),
}

/// Reason why a configuration was rejected; the version in force stays as it was.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ApplyError {
    /// The version is not newer than the one in force.
    #[error("apply from {origin}: version {offered} is not newer than version {current} in force")]
    NotNewer {
        /// Where the configuration came from.
        origin: ConfigSource,
        /// Version that was rejected.
        offered: ConfigVersion,
        /// Version in force.
        current: ConfigVersion,
    },
    /// The version is below the floor: this node may have had a newer one in force before its restart.
    #[error("apply from {origin}: version {offered} is below {floor}, the lowest version allowed")]
    BelowFloor {
        /// Where the configuration came from.
        origin: ConfigSource,
        /// Version that was rejected.
        offered: ConfigVersion,
        /// Lowest version allowed.
        floor: ConfigVersion,
    },
    /// The join has not yet determined the floor.
    #[error("apply from {origin}: the lowest version allowed on this node is not yet known")]
    FloorUnknown {
        /// Where the configuration came from.
        origin: ConfigSource,
    },
    /// The content breaks a rule of `ConfigSnapshot::check`.
    #[error("apply from {origin}: {cause}")]
    Invalid {
        /// Where the configuration came from.
        origin: ConfigSource,
        /// Rule that is broken.
        #[source]
        cause: Box<ConfigError>,
    },
}

/// The floor: the lowest version that this node may put in force.
///
/// A node has no disk, so after a restart the floor keeps it from going back to a version older than one it had in
/// force before. `join` determines it. Invariant: it never falls, and once known it stays known.
#[derive(Clone, Copy, Debug, Default)]
struct FloorState {
    known: bool,
    floor: ConfigVersion,
}

/// Holds the configuration in force and accepts only newer versions at or above the floor.
///
/// Invariants: the version in force only grows; the content in force has passed `ConfigSnapshot::check`; `floor`
/// stays locked from the comparison of versions to the replacement, so that of two concurrent offers the older
/// cannot replace the newer.
#[derive(Debug)]
pub struct ApplyGate {
    current: ArcSwap<ActiveConfig>,
    floor: Mutex<FloorState>,
    applied: watch::Sender<ConfigVersion>,
}

impl Default for ApplyGate {
    fn default() -> Self {
        Self {
            current: ArcSwap::from_pointee(ActiveConfig::default()),
            floor: Mutex::new(FloorState::default()),
            applied: watch::Sender::new(0),
        }
    }
}

impl ApplyGate {
    /// Returns the configuration in force; its version is 0 before the first one.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load().snapshot()
    }

    /// Returns the configuration in force with its lookup indexes.
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.current.load_full()
    }

    /// Returns the version in force, 0 before the first one.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().version
    }

    /// Returns a receiver that is notified of new versions in force; it sees only the latest of several in a row.
    pub fn subscribe(&self) -> watch::Receiver<ConfigVersion> {
        self.applied.subscribe()
    }

    /// Marks the floor as known and raises it to at least `floor`.
    pub fn set_floor(&self, floor: ConfigVersion) {
        let mut state = self.floor.lock();
        state.known = true;
        state.floor = state.floor.max(floor);
    }

    /// Returns whether the floor is known; until then every offer is rejected.
    pub fn is_floor_known(&self) -> bool {
        self.floor.lock().known
    }

    /// Returns the lowest version that may be put in force, 0 while it is not known.
    pub fn floor(&self) -> ConfigVersion {
        self.floor.lock().floor
    }

    /// Returns whether calls may be routed: the floor is known and a version at or above it is in force.
    pub fn is_ready(&self) -> bool {
        let state = self.floor.lock();
        let version = self.version();
        state.known && version > 0 && version >= state.floor
    }

    /// Checks a configuration and puts it in force if it is valid, newer and at or above the floor.
    pub fn try_apply(
        &self,
        snapshot: ConfigSnapshot,
        origin: &ConfigSource,
    ) -> Result<(), ApplyError> {
        snapshot.check().map_err(|cause| ApplyError::Invalid {
            origin: origin.clone(),
            cause: Box::new(cause),
        })?;
        let state = self.floor.lock();
        self.check_version(snapshot.version, *state, origin)?;
        let version = snapshot.version;
        self.current.store(Arc::new(snapshot.into()));
        self.applied.send_replace(version);
        Ok(())
    }

    fn check_version(
        &self,
        offered: ConfigVersion,
        state: FloorState,
        origin: &ConfigSource,
    ) -> Result<(), ApplyError> {
        let origin = origin.clone();
        if !state.known {
            return Err(ApplyError::FloorUnknown { origin });
        }
        if offered < state.floor {
            return Err(ApplyError::BelowFloor {
                origin,
                offered,
                floor: state.floor,
            });
        }
        let current = self.version();
        if offered <= current {
            return Err(ApplyError::NotNewer {
                origin,
                offered,
                current,
            });
        }
        Ok(())
    }
}
