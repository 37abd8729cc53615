//! Splitting streams into whole events.

use proptest::prelude::*;
use zinniahatch_entry::EventSplitter;

/// A replica crashed in the middle of an event, the next one went on after the last whole event,
/// and the caller got a torn event joined to a whole one. Only whole events are passed on.
#[test]
fn push_holds_back_a_torn_event() {
    let mut splitter = EventSplitter::default();
    let ready = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(ready.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(splitter.is_torn());
    splitter.drop_torn();
    let ready = splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(ready.as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(!splitter.is_torn());
}

#[test]
fn after_keeps_the_callers_last_event() {
    let splitter = EventSplitter::after(Some("7".into()));
    assert_eq!(splitter.last_id(), Some("7"));
}

proptest! {
    /// The oracle: however the bytes arrive, what comes out is what went in, cut between events.
    #[test]
    fn push_in_any_pieces(
        cuts in prop::collection::vec(1_usize..9, 1..60),
        carriage in any::<bool>(),
    ) {
        let end = if carriage { "\r\n" } else { "\n" };
        let parts: Vec<String> = (1..12).map(|id| format!("id: {id}{end}data: x{id}{end}{end}")).collect();
        let text = parts.concat();
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let take = cuts.next().unwrap_or(1).min(rest.len());
            if let Some(ready) = splitter.push(&rest[..take]) {
                let blank = [end, end].concat();
                prop_assert!(ready.ends_with(blank.as_bytes()));
                out.extend_from_slice(&ready);
            }
            rest = &rest[take..];
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some("11"));
    }
}
