//! Unauthenticated and oversized frames are rejected before they are decoded.

use test_case::test_case;
use zinniahatch_protocol::FrameCodec;
use zinniahatch_protocol::FrameError;
use zinniahatch_protocol::MAX_FRAME_BYTES;
use zinniahatch_protocol::NodeFrame;
use zinniahatch_protocol::NodeMessage;

fn frame() -> NodeFrame {
    NodeFrame {
        sender: "n".into(),
        incarnation: 1,
        data_centre: "d".into(),
        peer: "p".into(),
        revision: 3,
        messages: vec![NodeMessage::HeadPull],
    }
}

#[test]
fn decode_own_secret_gives_the_frame() {
    let codec = FrameCodec::new("one secret of many");
    let bytes = codec.encode(&frame()).expect("the frame is small");
    assert_eq!(codec.decode(&bytes), Ok(frame()));
}

#[test]
fn decode_other_secret_is_forged() {
    let bytes = FrameCodec::new("one secret of many")
        .encode(&frame())
        .expect("the frame is small");
    assert_eq!(
        FrameCodec::new("another secret").decode(&bytes),
        Err(FrameError::Forged)
    );
}

#[test_case(&[], FrameError::Forged; "empty")]
#[test_case(&[7; 12], FrameError::Forged; "shorter than its code")]
#[test_case(&[7; 400], FrameError::Forged; "garbage")]
#[test_case(&vec![0; MAX_FRAME_BYTES + 1], FrameError::TooLarge; "too large")]
fn decode_refuses(bytes: &[u8], expected: FrameError) {
    assert_eq!(
        FrameCodec::new("one secret of many").decode(bytes),
        Err(expected)
    );
}

#[test]
fn decode_flipped_bit_is_forged() {
    let codec = FrameCodec::new("one secret of many");
    let mut bytes = codec.encode(&frame()).expect("the frame is small");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    assert_eq!(codec.decode(&bytes), Err(FrameError::Forged));
}
