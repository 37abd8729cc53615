//! Splitting of streams into whole events.

use proptest::prelude::*;
use zinniahatch_entry::EventSplitter;

/// Guards against a truncated event joined to a whole one: a replica crashes in the middle of an
/// event and the next one continues after the last whole event. Only whole events are forwarded.
#[test]
fn push_holds_back_partial_event() {
    let mut splitter = EventSplitter::default();
    let ready = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(ready.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(splitter.has_partial());
    splitter.discard_partial();
    let ready = splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(ready.as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(!splitter.has_partial());
}

#[test]
fn after_keeps_the_callers_last_event() {
    let splitter = EventSplitter::after(Some("7".into()));
    assert_eq!(splitter.last_id(), Some("7"));
}

proptest! {
    /// However the bytes arrive, the output equals the input, cut only between events.
    #[test]
    fn push_bytes_split_anywhere(
        cuts in prop::collection::vec(1_usize..9, 1..60),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
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
