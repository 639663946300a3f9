//! What entries tell each other of their loads.

use fulmarhead_lib::placement::{LoadChanges, TargetLoad};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// Returns the loads of one entry, of small numbers so that they change and vanish often.
fn loads(draws: &[(u8, u8)]) -> BTreeMap<String, TargetLoad> {
    let load = |draw: u8| TargetLoad {
        requests: u32::from(draw % 4) + 1,
        read_ms: f32::from(draw),
        ..TargetLoad::default()
    };
    draws.iter().map(|(id, draw)| (format!("t{}", id % 6), load(*draw))).collect()
}

/// Guards against a peer's picture of an entry's loads that drifts off over many reports.
#[test]
fn load_changes_add_up() {
    fn property(reports: Vec<Vec<(u8, u8)>>) -> bool {
        let mut known = None;
        let mut seen = BTreeMap::new();
        reports.iter().map(|draws| loads(draws)).all(|loads| {
            let changes = LoadChanges::between(known.as_ref(), &loads);
            changes.apply(known.get_or_insert_default());
            changes.apply(&mut seen);
            let requests = |loads: &BTreeMap<String, TargetLoad>| -> Vec<(String, u32)> {
                loads.iter().map(|(id, load)| (id.clone(), load.requests)).collect()
            };
            let near =
                loads.iter().all(|(id, load)| (load.read_ms - seen[id].read_ms).abs() < 20.0);
            requests(&loads) == requests(&seen) && near
        })
    }
    let generator = Gen::from_size_and_seed(40, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<Vec<(u8, u8)>>) -> bool);
}
