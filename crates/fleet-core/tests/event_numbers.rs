//! Number and level of each log event: alerts depend on them, so they never change. Texts may change.

use fleet_core::log::Event;

const EVENTS: [(u32, slog::Level); 45] = {
    use slog::Level::{Debug, Error, Info, Warning};
    [
        (100, Info),
        (101, Info),
        (102, Info),
        (103, Info),
        (104, Warning),
        (105, Info),
        (106, Error),
        (200, Info),
        (201, Warning),
        (202, Warning),
        (203, Info),
        (204, Warning),
        (205, Info),
        (206, Info),
        (210, Info),
        (211, Info),
        (220, Info),
        (221, Info),
        (222, Info),
        (230, Info),
        (231, Info),
        (232, Info),
        (233, Warning),
        (240, Info),
        (241, Info),
        (250, Info),
        (251, Info),
        (252, Warning),
        (260, Info),
        (261, Info),
        (262, Info),
        (263, Warning),
        (270, Warning),
        (280, Info),
        (281, Info),
        (282, Info),
        (283, Info),
        (284, Info),
        (300, Debug),
        (301, Info),
        (310, Info),
        (311, Info),
        (320, Info),
        (330, Info),
        (331, Info),
    ]
};

/// Events that were added later, in the order of their addition.
const LATER: [(u32, slog::Level); 5] = [
    (332, slog::Level::Info),
    (333, slog::Level::Info),
    (107, slog::Level::Warning),
    (312, slog::Level::Info),
    (321, slog::Level::Info),
];

#[test]
fn event_numbers_and_levels_never_change() {
    let mut events: Vec<_> = Event::ALL.iter().map(|e| (*e as u32, e.level())).collect();
    events.sort_by_key(|(number, _)| *number);
    let mut expected: Vec<_> = EVENTS.into_iter().chain(LATER).collect();
    expected.sort_by_key(|(number, _)| *number);
    assert_eq!(events, expected);
}
