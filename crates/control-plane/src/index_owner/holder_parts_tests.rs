use super::*;
use proptest::prelude::*;

#[test]
fn full_holder_takes_no_new_part_and_keeps_changing_known_ones() {
    let mut holder = HolderParts::default();
    let max_weight = SALT_WEIGHT + 2;
    assert!(holder.insert("s", 1, 10, max_weight).is_some());
    assert!(holder.insert("s", 1, 10, max_weight).is_none(), "nothing changed");
    assert!(holder.insert("s", 2, 10, max_weight).is_some());
    assert!(holder.insert("s", 3, 10, max_weight).is_none());
    assert!(holder.insert("other", 1, 10, max_weight).is_none());
    assert!(holder.insert("s", 1, 20, max_weight).is_some());
    holder.remove("s", 2);
    assert!(holder.insert("s", 3, 10, max_weight).is_some());
}

proptest! {
    /// The weight is always that of the parts and salts that are there.
    #[test]
    fn weight_follows_every_change(changes in proptest::collection::vec((0u8..4, 0u64..6, 0u8..3), 1..80)) {
        let mut holder = HolderParts::default();
        for (salt, part, change) in changes {
            let salt = salt.to_string();
            match change {
                0 => drop(holder.insert(&salt, part, 1, 50)),
                1 => holder.remove(&salt, part),
                _ => holder.remove_salts(&|name| name == salt),
            }
            let weight: usize = holder.iter().map(|(_, parts)| parts.len() + SALT_WEIGHT).sum();
            prop_assert_eq!(holder.weight(), weight);
            prop_assert!(weight < 50 + SALT_WEIGHT + 1);
        }
    }
}
