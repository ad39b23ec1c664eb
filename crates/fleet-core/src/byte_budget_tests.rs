use super::*;
use proptest::prelude::*;

#[test]
fn reservations_beyond_the_limit_are_denied_and_counted() {
    let budget = ByteBudget::new(100);
    let first = budget.try_reserve(60).unwrap();
    assert!(budget.try_reserve(41).is_none());
    let second = budget.try_reserve(40).unwrap();
    drop(first);
    assert_eq!(budget.usage(), Usage { reserved: 40, peak: 100, denied: 1 });
    drop(second);
    assert_eq!(budget.usage().reserved, 0);
}

#[test]
fn reservation_that_cannot_grow_keeps_its_bytes() {
    let budget = ByteBudget::new(100);
    let mut reservation = budget.try_reserve(70).unwrap();
    assert!(!reservation.resize(101));
    assert!(!reservation.resize(usize::MAX));
    assert_eq!(budget.usage().reserved, 70);
    assert!(reservation.resize(10));
    assert_eq!(budget.usage().reserved, 10);
    reservation.clear();
    assert!(reservation.resize(100));
}

#[test]
fn bytes_that_were_split_off_stay_reserved_until_both_are_dropped() {
    let budget = ByteBudget::new(100);
    let mut first = budget.try_reserve(70).unwrap();
    let second = first.split_off(30);
    let nothing = budget.reservation().split_off(10);
    assert_eq!(budget.usage().reserved, 70);
    assert!(first.resize(0));
    assert_eq!(budget.usage().reserved, 30);
    drop((second, nothing));
    assert_eq!(budget.usage().reserved, 0);
    drop(first);
    assert_eq!(budget.usage().reserved, 0);
}

proptest! {
    /// Whatever is reserved and given back, the sum is what the live reservations hold, and at most the limit.
    #[test]
    fn sum_of_reservations_never_exceeds_the_limit(sizes in proptest::collection::vec((0usize..4, 0usize..80), 1..60)) {
        let budget = ByteBudget::new(100);
        let mut reservations: Vec<_> = (0..4).map(|_| (budget.reservation(), 0)).collect();
        for (index, size) in sizes {
            let (reservation, held) = &mut reservations[index];
            if reservation.resize(size) {
                *held = size;
            }
            let sum: usize = reservations.iter().map(|(_, held)| held).sum();
            prop_assert_eq!(budget.usage().reserved, sum);
            prop_assert!(sum <= 100);
        }
        drop(reservations);
        prop_assert_eq!(budget.usage().reserved, 0);
    }
}
