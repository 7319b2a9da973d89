//! Bodies whose content is known in pieces.

use bytes::Bytes;
use futures_lite::future::block_on;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use runtime::Body;

/// A body of these pieces states the length of all of them, and brings them in order.
fn body_is_whole(pieces: &'static [&'static str]) {
    let mut body = Body::pieces(
        pieces
            .iter()
            .map(|piece| Bytes::from_static(piece.as_bytes())),
    );
    let whole = pieces.concat();
    let mut read = Vec::new();
    loop {
        let left = (whole.len() - read.len()) as u64;
        assert_eq!(body.size_hint().exact(), Some(left));
        match block_on(body.frame()) {
            Some(frame) => read.extend_from_slice(&frame.unwrap().into_data().unwrap()),
            None => break,
        }
    }
    assert_eq!(read, whole.as_bytes());
    assert!(body.is_end_stream());
}

macro_rules! cases {
    ($($name:ident: $pieces:expr;)*) => {$(
        #[test]
        fn $name() {
            body_is_whole(&$pieces);
        }
    )*};
}

cases! {
    no_pieces: [];
    one_piece: ["abc"];
    some_pieces: ["a", "bcd", "ef"];
}
