//! How members are spread over zones and regions: as many of these as may be lost together should
//! leave a quorum.

use fleet_core::wire::Member;
use std::collections::BTreeMap;

/// What may be lost together with every rule kept.
#[derive(Debug, Clone, Default)]
pub struct Tolerance {
    /// Counted machines.
    pub machines: usize,
    /// Whole zones.
    pub zones: usize,
    /// Whole regions.
    pub regions: usize,
    /// Each zone with its region.
    pub regions_of_zones: Vec<(String, String)>,
}

impl Tolerance {
    /// Members of a whole membership: a majority outlives the losses that are to be borne.
    pub fn target_size(&self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions).max(1) + 1
    }
}

/// What is wrong with where members are; less is better, in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Exposure {
    /// Members that the tolerated loss of regions takes beyond what leaves a quorum.
    pub regions: usize,
    /// Members that the tolerated loss of zones takes beyond what leaves a quorum.
    pub zones: usize,
}

/// How exposed these members are. A member whose zone isn't known counts as in one of its own.
pub fn exposure(members: &[Member], tolerance: &Tolerance) -> Exposure {
    let spare = members.len().saturating_sub(1) / 2;
    let zone = |m: &Member| if m.zone.is_empty() { format!("?{}", m.ip) } else { m.zone.clone() };
    let region = |m: &Member| {
        let known = tolerance.regions_of_zones.iter().find(|(zone, _)| *zone == m.zone);
        known.map_or_else(|| zone(m), |(_, region)| region.clone())
    };
    Exposure {
        regions: largest(members, region, tolerance.regions).saturating_sub(spare),
        zones: largest(members, zone, tolerance.zones).saturating_sub(spare),
    }
}

/// Members in the fullest `count` places.
fn largest(members: &[Member], place: impl Fn(&Member) -> String, count: usize) -> usize {
    let mut places: BTreeMap<String, usize> = BTreeMap::new();
    for member in members {
        *places.entry(place(member)).or_default() += 1;
    }
    let mut sizes: Vec<usize> = places.into_values().collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.into_iter().take(count).sum()
}

/// Members in the zone of this one, itself not counted.
pub fn neighbours(members: &[Member], of: &Member) -> usize {
    members.iter().filter(|m| m.zone == of.zone && m.ip != of.ip).count()
}
