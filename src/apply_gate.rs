//! The only place that puts a configuration version in force.

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

/// Where a node got a configuration from.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConfigSource {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another node.
    #[display("peer {_0}")]
    Peer(String),
}

/// A configuration that was not put in force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ApplyError {
    /// The version is not newer than the one in force.
    #[error("apply from {origin}: version {offered} is not newer than {current}")]
    NotNewer {
        /// Where the configuration came from.
        origin: ConfigSource,
        /// Version that was offered.
        offered: ConfigVersion,
        /// Version in force.
        current: ConfigVersion,
    },
    /// This node may have had a newer version in force before its restart.
    #[error("apply from {origin}: version {offered} is below the floor {floor}")]
    BelowFloor {
        /// Where the configuration came from.
        origin: ConfigSource,
        /// Version that was offered.
        offered: ConfigVersion,
        /// Lowest version allowed.
        floor: ConfigVersion,
    },
    /// The floor is not yet known.
    #[error("apply from {origin}: the floor of this node is not yet known")]
    FloorUnknown {
        /// Where the configuration came from.
        origin: ConfigSource,
    },
    /// The content is not valid.
    #[error("apply from {origin}: {cause}")]
    Invalid {
        /// Where the configuration came from.
        origin: ConfigSource,
        /// What is wrong with it.
        #[source]
        cause: Box<ConfigError>,
    },
}

/// Lowest version that may be applied.
///
/// Invariant: the floor never falls, and once known it stays known.
#[derive(Clone, Copy, Debug, Default)]
struct FloorState {
    known: bool,
    floor: ConfigVersion,
}

/// Holds the configuration in force.
///
/// Invariants: the version in force only grows; the content in force has passed `check`; `floor` is
/// locked while a version is put in force, so that two offers cannot cross.
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
    /// Returns the configuration in force; version 0 means none yet.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load().snapshot()
    }

    /// Returns the configuration in force with its index.
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.current.load_full()
    }

    /// Returns the version in force.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().version
    }

    /// Returns a receiver that sees each version put in force.
    pub fn subscribe(&self) -> watch::Receiver<ConfigVersion> {
        self.applied.subscribe()
    }

    /// Declares the floor known and raises it to at least `floor`.
    pub fn set_floor(&self, floor: ConfigVersion) {
        let mut state = self.floor.lock();
        state.known = true;
        state.floor = state.floor.max(floor);
    }

    /// Returns whether the floor is known; before that no offer is accepted.
    pub fn is_floor_known(&self) -> bool {
        self.floor.lock().known
    }

    /// Returns the lowest version that may be applied.
    pub fn floor(&self) -> ConfigVersion {
        self.floor.lock().floor
    }

    /// Returns whether calls may be routed: the floor is known and a version at or above it is in force.
    pub fn is_ready(&self) -> bool {
        let state = self.floor.lock();
        let version = self.version();
        state.known && version > 0 && version >= state.floor
    }

    /// Puts a configuration in force, whole or not at all.
    pub fn offer(&self, snapshot: ConfigSnapshot, origin: &ConfigSource) -> Result<(), ApplyError> {
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
