//! Tests of the load reports between entries.

use fulmarhead_lib::placement::{LoadDelta, TargetLoad};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// Returns the loads of one entry. The value ranges are small, so that loads often change and
/// disappear between reports.
fn loads(draws: &[(u8, u8)]) -> BTreeMap<String, TargetLoad> {
    let load = |draw: u8| TargetLoad {
        requests: u32::from(draw % 4) + 1,
        prefill_ms: f32::from(draw),
        ..TargetLoad::default()
    };
    draws.iter().map(|(id, draw)| (format!("t{}", id % 6), load(*draw))).collect()
}

/// Guards against a peer's copy of an entry's loads that diverges over many incremental reports.
#[test]
fn load_deltas_converge() {
    fn property(reports: Vec<Vec<(u8, u8)>>) -> bool {
        let mut known = None;
        let mut accumulated = BTreeMap::new();
        reports.iter().map(|draws| loads(draws)).all(|loads| {
            let delta = LoadDelta::between(known.as_ref(), &loads);
            delta.apply(known.get_or_insert_default());
            delta.apply(&mut accumulated);
            let requests = |loads: &BTreeMap<String, TargetLoad>| -> Vec<(String, u32)> {
                loads.iter().map(|(id, load)| (id.clone(), load.requests)).collect()
            };
            // Reports omit differences in prefill time below 20 ms.
            let is_near = loads
                .iter()
                .all(|(id, load)| (load.prefill_ms - accumulated[id].prefill_ms).abs() < 20.0);
            requests(&loads) == requests(&accumulated) && is_near
        })
    }
    let generator = Gen::from_size_and_seed(40, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<Vec<(u8, u8)>>) -> bool);
}
