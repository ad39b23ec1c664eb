use super::*;

fn location(holder: &str, salt: &str) -> Location {
    Location { holder: holder.into(), salt: salt.into(), cached_tokens: 0 }
}

#[test]
fn locations_are_bounded_in_all_and_for_each_part() {
    let mut parts = UnsharedParts::default();
    for number in 0..4 * constants::UNSHARED_PARTS_CAPACITY as u64 {
        parts.add(7, location("h", &number.to_string()));
    }
    assert!(parts.len() <= 2 * constants::UNSHARED_LOCATIONS_PER_PART, "{}", parts.len());
    for number in 0..4 * constants::UNSHARED_PARTS_CAPACITY as u64 {
        parts.add(number, location("h", "s"));
        if number % 1000 == 0 {
            assert!(parts.len() <= 2 * constants::UNSHARED_PARTS_CAPACITY);
        }
    }
    assert!(parts.len() > constants::UNSHARED_PARTS_CAPACITY);
}

#[test]
fn location_that_was_added_first_is_dropped_first() {
    let mut parts = UnsharedParts::default();
    for number in 0..=constants::UNSHARED_LOCATIONS_PER_PART {
        parts.add(7, location("h", &number.to_string()));
    }
    let salts: Vec<_> = parts.take(7).into_iter().map(|location| location.salt).collect();
    assert_eq!(salts.len(), constants::UNSHARED_LOCATIONS_PER_PART);
    assert!(!salts.contains(&"0".into()) && salts.contains(&"1".into()));
}
