//! Encoding and decoding of frames, including split and invalid ones.

use proto::{CodecError, FrameReader, MAX_FRAME_BYTES, PROTOCOL_VERSION, RequestFrame, encode};

const VERSION_OFFSET: usize = 4;

fn decode(bytes: &[u8]) -> Result<Option<RequestFrame>, CodecError> {
    let mut reader = FrameReader::default();
    reader.push(bytes);
    reader.next_frame()
}

#[test]
fn frame_survives_any_cut() {
    let frame = encode(&RequestFrame::Body(vec![7; 1000].into())).unwrap();
    for cut in 0..frame.len() {
        let mut reader = FrameReader::default();
        reader.push(&frame[..cut]);
        assert_eq!(reader.next_frame::<RequestFrame>().unwrap(), None);
        reader.push(&frame[cut..]);
        let message = reader.next_frame::<RequestFrame>().unwrap();
        assert_eq!(message, Some(RequestFrame::Body(vec![7; 1000].into())));
        assert!(!reader.has_partial());
    }
}

#[test]
fn other_version_is_refused() {
    let mut frame = encode(&RequestFrame::BodyEnd).unwrap();
    frame[VERSION_OFFSET] = PROTOCOL_VERSION + 1;
    assert_eq!(
        decode(&frame),
        Err(CodecError::Version(PROTOCOL_VERSION + 1))
    );
}

#[test]
fn oversized_frame_is_refused_before_it_arrives() {
    let length = MAX_FRAME_BYTES + 1;
    let mut header = (length as u32).to_le_bytes().to_vec();
    header.push(PROTOCOL_VERSION);
    assert_eq!(decode(&header), Err(CodecError::TooLarge(length)));
}

#[test]
fn junk_is_refused() {
    let mut frame = encode(&RequestFrame::BodyEnd).unwrap();
    let last = frame.len() - 1;
    frame[last] = 0xff;
    assert!(matches!(decode(&frame), Err(CodecError::Malformed(_))));
}
