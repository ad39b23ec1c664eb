//! Distribution of the members over failure domains. The loss of as many zones or regions as configured should leave a
//! quorum of the members.

use fleet_core::wire::Member;
use std::collections::BTreeMap;

/// Number of failures that the cluster has to tolerate.
#[derive(Debug, Clone, Default)]
pub struct Tolerance {
    /// Tolerated number of lost machines.
    pub machines: usize,
    /// Tolerated number of lost zones.
    pub zones: usize,
    /// Tolerated number of lost regions.
    pub regions: usize,
    /// Pairs of a zone and its region.
    pub regions_of_zones: Vec<(String, String)>,
}

impl Tolerance {
    /// Number of members at which a majority survives the tolerated losses, if each loss takes one member.
    pub fn target_size(&self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions).max(1) + 1
    }
}

/// By how much the tolerated losses of failure domains exceed what the members survive. Lower is better; values are
/// compared in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Exposure {
    /// Members lost beyond a minority when the largest regions fail, as many as are tolerated.
    pub regions: usize,
    /// Members lost beyond a minority when the largest zones fail, as many as are tolerated.
    pub zones: usize,
}

/// Exposure of a set of members. A member whose zone is unknown counts as being in a zone of its own, and a zone of
/// unknown region as a region of its own.
pub fn exposure(members: &[Member], tolerance: &Tolerance) -> Exposure {
    let minority = members.len().saturating_sub(1) / 2;
    let zone = |m: &Member| if m.zone.is_empty() { format!("?{}", m.ip) } else { m.zone.clone() };
    let region = |m: &Member| {
        let known = tolerance.regions_of_zones.iter().find(|(zone, _)| *zone == m.zone);
        known.map_or_else(|| zone(m), |(_, region)| region.clone())
    };
    Exposure {
        regions: members_in_largest(members, region, tolerance.regions).saturating_sub(minority),
        zones: members_in_largest(members, zone, tolerance.zones).saturating_sub(minority),
    }
}

/// Number of members in the `count` largest domains.
fn members_in_largest(
    members: &[Member],
    domain: impl Fn(&Member) -> String,
    count: usize,
) -> usize {
    let mut sizes_by_domain: BTreeMap<String, usize> = BTreeMap::new();
    for member in members {
        *sizes_by_domain.entry(domain(member)).or_default() += 1;
    }
    let mut sizes: Vec<usize> = sizes_by_domain.into_values().collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.into_iter().take(count).sum()
}

/// Number of other members in the zone of a member.
pub fn others_in_zone(members: &[Member], member: &Member) -> usize {
    members.iter().filter(|other| other.zone == member.zone && other.ip != member.ip).count()
}
