//! Conversion of endpoint records to the decision module's endpoints.

use super::PlatformSettings;
use crate::endpoint_list::EndpointRecord;
use crate::{Endpoint, Tier};

/// Weight of an endpoint whose record has no capacity hint.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Zone number of endpoints whose zone is not in the settings.
const UNKNOWN_ZONE: u32 = u32::MAX;

impl PlatformSettings {
    /// Converts a record to an endpoint of the decision module.
    pub fn endpoint(&self, record: &EndpointRecord) -> Endpoint {
        let zone = self.zones.iter().position(|zone| *zone == record.zone);
        Endpoint {
            id: record.id,
            tier: self.tier(record),
            state: record.state,
            started_at: record.started_at,
            weight: record.capacity_hint.unwrap_or(DEFAULT_WEIGHT),
            zone: zone.map_or(UNKNOWN_ZONE, |zone| zone as u32),
            cell: record.cell,
        }
    }

    /// Whether an endpoint is a cache in any zone.
    pub fn is_cache(&self, record: &EndpointRecord) -> bool {
        matches!(self.tier(record), Tier::Cache | Tier::RemoteCache)
    }

    /// The tier of an endpoint as seen by a proxy in this zone.
    fn tier(&self, record: &EndpointRecord) -> Tier {
        let is_kind = |kind: &Option<String>| kind.as_ref() == Some(&record.kind);
        if is_kind(&self.origin_kind) {
            Tier::Origin
        } else if is_kind(&self.parent_kind) {
            Tier::Parent
        } else if record.zone == self.zone {
            Tier::Cache
        } else {
            Tier::RemoteCache
        }
    }
}
