//! Tests of `log`: `docs/events.md` lists every event with its number and text.

#[test]
fn catalogue_lists_every_event() {
    let page = include_str!("../../../docs/events.md");
    for event in super::Event::ALL {
        let row = format!("| {} | {} |", *event as u32, event.text());
        assert!(page.contains(&row), "docs/events.md lacks `{row}`");
    }
}
