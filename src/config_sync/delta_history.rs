//! Recent changes of the configuration, so that a peer a few versions behind receives a delta instead of the whole.

use {
    super::packing::pack_response,
    crate::{
        config::{ConfigDelta, ConfigSnapshot, ResourceName, VersionedResource},
        ids::ConfigVersion,
        wire::{ConfigDeltaBody, ConfigFullBody, SyncBody},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Largest number of deltas kept. At 8,600 changes a day they cover the last ten minutes and take about 64 KB.
const MAX_DELTAS: usize = 64;

/// Recent deltas and the latest configuration.
///
/// Invariant: each delta starts at the version where the previous one ends, and the last ends at `latest`.
#[derive(Debug)]
pub struct DeltaHistory {
    latest: Arc<ConfigSnapshot>,
    deltas: VecDeque<ConfigDelta>,
    /// `latest` encoded as a whole, once a peer has needed it.
    encoded_full: Option<ConfigFullBody>,
    /// The last response of `packed_response_for` and the peer version that it was built for; most peers that pull a
    /// version come from the same older one.
    last_packed: Option<(ConfigVersion, SyncBody)>,
}

impl DeltaHistory {
    /// Returns a history that holds the latest configuration and no deltas.
    pub fn new(latest: Arc<ConfigSnapshot>) -> Self {
        Self {
            latest,
            deltas: VecDeque::new(),
            encoded_full: None,
            last_packed: None,
        }
    }

    /// Adds the delta from the latest configuration to `next`; ignores a `next` that is not newer.
    pub fn record(&mut self, next: Arc<ConfigSnapshot>) {
        if next.version <= self.latest.version {
            return;
        }
        if self.latest.version > 0 {
            self.deltas.push_back(next.delta_from(&self.latest));
        }
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.latest = next;
        self.encoded_full = None;
        self.last_packed = None;
    }

    /// Returns the change from `peer_version` to the latest version; none if the history does not reach back to it.
    pub fn delta_since(&self, peer_version: ConfigVersion) -> Option<ConfigDelta> {
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.from == peer_version)?;
        merge_deltas(self.deltas.range(start..))
    }

    /// Returns the frame that brings a peer from `peer_version` to the latest version: a delta if the history reaches
    /// back that far, else the whole configuration. None if there is no configuration or it cannot be encoded.
    pub fn response_for(&mut self, peer_version: ConfigVersion) -> Option<SyncBody> {
        if let Some(delta) = self.delta_since(peer_version) {
            let json = serde_json::to_vec(&delta).ok()?;
            let body = ConfigDeltaBody { json, packed: None };
            return Some(SyncBody::ConfigDelta(body));
        }
        let full = self.full_body()?;
        Some(SyncBody::ConfigFull(full))
    }

    /// Returns the frame of `response_for` with its content compressed.
    pub fn packed_response_for(&mut self, peer_version: ConfigVersion) -> Option<SyncBody> {
        if let Some((from, response)) = &self.last_packed
            && *from == peer_version
        {
            return Some(response.clone());
        }
        let response = pack_response(self.response_for(peer_version)?);
        self.last_packed = Some((peer_version, response.clone()));
        Some(response)
    }

    /// Returns the latest configuration as a whole; it is encoded once per version.
    fn full_body(&mut self) -> Option<ConfigFullBody> {
        if self.latest.version == 0 {
            return None;
        }
        if self.encoded_full.is_none() {
            self.encoded_full = Some(ConfigFullBody {
                json: serde_json::to_vec(self.latest.as_ref()).ok()?,
                hash: self.latest.content_hash(),
                packed: None,
            });
        }
        self.encoded_full.clone()
    }
}

/// Merges consecutive deltas into one; none if there are no deltas.
fn merge_deltas<'a>(deltas: impl Iterator<Item = &'a ConfigDelta>) -> Option<ConfigDelta> {
    let mut from = None;
    let mut last = None;
    let mut changed: BTreeMap<ResourceName, VersionedResource> = BTreeMap::new();
    let mut removed: BTreeSet<ResourceName> = BTreeSet::new();
    for delta in deltas {
        from.get_or_insert(delta.from);
        last = Some(delta);
        for name in &delta.removed {
            changed.remove(name);
            removed.insert(name.clone());
        }
        for entry in &delta.changed {
            let name = entry.resource.name();
            removed.remove(&name);
            changed.insert(name, entry.clone());
        }
    }
    let last = last?;
    Some(ConfigDelta {
        from: from?,
        to: last.to,
        accepted_at_ms: last.accepted_at_ms,
        hash: last.hash.clone(),
        changed: changed.into_values().collect(),
        removed: removed.into_iter().collect(),
    })
}
