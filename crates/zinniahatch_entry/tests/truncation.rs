//! What proves that a response is whole.

use test_case::test_case;
use zinniahatch_entry::BodyEnd;
use zinniahatch_entry::BodyPosition;
use zinniahatch_entry::EndProof;
use zinniahatch_entry::EventSplitter;
use zinniahatch_entry::Truncation;
use zinniahatch_entry::required_proof;

/// Guards against the end of a connection that is taken for the end of a response which had not begun.
#[test_case(BodyEnd::Length, BodyPosition::Start, Ok(EndProof::Framing); "length_empty")]
#[test_case(BodyEnd::LastChunk, BodyPosition::Start, Ok(EndProof::Framing); "chunks_empty")]
#[test_case(BodyEnd::ConnectionClose, BodyPosition::Start, Err(Truncation::BeforeBody); "close_empty")]
#[test_case(BodyEnd::Length, BodyPosition::InsideEvent, Err(Truncation::InsideEvent); "length_inside_event")]
#[test_case(BodyEnd::LastChunk, BodyPosition::InsideEvent, Err(Truncation::InsideEvent); "chunks_inside_event")]
#[test_case(BodyEnd::ConnectionClose, BodyPosition::InsideEvent, Err(Truncation::InsideEvent); "close_inside_event")]
#[test_case(BodyEnd::Length, BodyPosition::Further, Ok(EndProof::Framing); "length_further")]
#[test_case(BodyEnd::LastChunk, BodyPosition::Further, Ok(EndProof::Framing); "chunks_further")]
#[test_case(BodyEnd::ConnectionClose, BodyPosition::Further, Ok(EndProof::RunningReplica); "close_further")]
fn required_proof_of_an_end(
    end: BodyEnd,
    position: BodyPosition,
    expected: Result<EndProof, Truncation>,
) {
    assert_eq!(required_proof(end, position), expected);
}

/// Guards against a stream in which no event came that counts as begun, also where another replica goes
/// on with it.
#[test_case(b"", BodyPosition::Start; "nothing")]
#[test_case(b"\xef\xbb\xbf", BodyPosition::Start; "byte_order_mark")]
#[test_case(b": wait\n\n", BodyPosition::Start; "comment")]
#[test_case(b"id: 1\ndata: a", BodyPosition::InsideEvent; "first_event_without_its_end")]
#[test_case(b"id: 1\ndata: a\n\n", BodyPosition::Further; "event")]
#[test_case(b"id: 1\rdata: a\r\r", BodyPosition::Further; "event_with_carriage_returns")]
#[test_case(b"id: 1\ndata: a\n\n: end\n\n", BodyPosition::Further; "comment_after_event")]
fn position_of_a_stream(bytes: &[u8], expected: BodyPosition) {
    let mut splitter = EventSplitter::default();
    splitter.follow(bytes);
    assert_eq!(splitter.position(), expected);
    splitter.discard_partial();
    assert_eq!(splitter.position(), BodyPosition::Start);
}
