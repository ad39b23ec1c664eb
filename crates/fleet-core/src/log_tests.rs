//! Tests of `log`.

#[test]
fn catalogue_names_every_event() {
    let page = include_str!("../../../docs/events.md");
    for e in super::Event::ALL {
        let row = format!("| {} | {} |", *e as u32, e.text());
        assert!(page.contains(&row), "docs/events.md lacks `{row}`");
    }
}
