//! Splitting of streams into whole events.

use proptest::prelude::*;
use test_case::test_case;
use zinniahatch_entry::EventScanner;
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

/// Guards against truncated streams that look complete, and complete ones that look truncated, for
/// every line end of the format, a byte order mark and comments, also if each byte arrives alone.
#[test_case(b"", false; "nothing")]
#[test_case(b"\xef\xbb\xbf", false; "byte_order_mark")]
#[test_case(b"\xef\xbb\xbfid: 1\n\n", false; "event_after_mark")]
#[test_case(b"id: 1\ndata: a\n\n", false; "event")]
#[test_case(b"id: 1\r\ndata: a\r\n\r\n", false; "event_with_both_line_ends")]
#[test_case(b"id: 1\rdata: a\r\r", false; "event_with_carriage_returns")]
#[test_case(b"id: 1\r\n\r", false; "event_without_the_last_line_feed")]
#[test_case(b"id: 1\ndata: a\n", true; "last_line_missing")]
#[test_case(b"id: 1\r\ndata: a\r\n", true; "last_line_missing_with_both_line_ends")]
#[test_case(b"id: 1\rdata: a\r", true; "last_line_missing_with_carriage_returns")]
#[test_case(b"id: 1\n\nid: 2\nda", true; "inside_a_line")]
#[test_case(b"id: 1\n\n: done", false; "comment_at_the_end")]
#[test_case(b"id: 1\n\n: done\n", false; "comment_line_at_the_end")]
#[test_case(b"id: 1\n: note\n", true; "comment_inside_an_event")]
#[test_case(b"id: 1\n: note\n\n", false; "event_that_ends_with_a_comment")]
fn scanner_finds_truncated_event(stream: &[u8], inside_event: bool) {
    let mut scanner = EventScanner::at_start();
    scanner.push(stream);
    assert_eq!(scanner.is_inside_event(), inside_event);
    let mut scanner = EventScanner::at_start();
    for byte in stream {
        scanner.push(std::slice::from_ref(byte));
    }
    assert_eq!(scanner.is_inside_event(), inside_event);
}

/// Guards against a byte order mark in the middle of a stream that another replica continues.
#[test]
fn push_drops_byte_order_mark_of_continuation() {
    let mut splitter = EventSplitter::default();
    let ready = splitter.push(b"\xef\xbb\xbfid: 1\n\nid: 2");
    assert_eq!(ready.as_deref(), Some(&b"\xef\xbb\xbfid: 1\n\n"[..]));
    splitter.discard_partial();
    let ready = splitter.push(b"\xef\xbb\xbfid: 2\n\n");
    assert_eq!(ready.as_deref(), Some(&b"id: 2\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("2"));
}

#[test]
fn take_rest_returns_comment_at_the_end() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\n\n: done\n");
    assert!(!splitter.has_partial());
    assert_eq!(splitter.take_rest().as_deref(), Some(&b": done\n"[..]));
}

proptest! {
    /// However the bytes arrive, the output equals the input, cut only between events.
    #[test]
    fn push_bytes_split_anywhere(
        cuts in prop::collection::vec(1_usize..9, 1..60),
        end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
    ) {
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
