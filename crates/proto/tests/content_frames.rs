//! Sizes of the frames that carry the content of the store between gateways.

use proto::{
    BackendEntry, BackendRow, CONTENT_PAGE_ROWS, CONTENT_PIECE_BYTES, ContentFrame, ContentHead,
    ContentRequest, DeclarationsHead, EvacuationOrder, FrameReader, PartialDeclarations, ServerRow,
    StoreVersions, StreamOpening, WriterCount, encode,
};

/// Limit on a frame of the transfer, with its header. What a gateway buffers for a transfer beyond the
/// content is such a frame.
const MAX_BYTES: usize = 80 << 10;

fn row(index: usize) -> ServerRow {
    let id = format!("engine-{index:04}-with-a-name-as-long-as-names-of-processes-usually-get");
    let entry = BackendEntry {
        id: id.as_str().into(),
        service: "a-service-with-a-long-name-of-its-own".into(),
        address: ([10, 0, 0, 1], 8_080).into(),
        domain: "domain-of-failure-with-a-long-name".into(),
        slots: 16,
        draining: false,
    };
    (id.into(), BackendRow::Present(entry), u64::MAX)
}

fn assert_bounded(frame: &ContentFrame) {
    let encoded = encode(frame).unwrap();
    assert!(encoded.len() <= MAX_BYTES, "{} bytes", encoded.len());
    let mut reader = FrameReader::default();
    reader.push(&encoded);
    assert_eq!(reader.next_frame().unwrap().as_ref(), Some(frame));
}

#[test]
fn pieces_fit_into_frames() {
    assert_bounded(&ContentFrame::Piece(vec![0xff; CONTENT_PIECE_BYTES]));
}

#[test]
fn pages_of_rows_fit_into_frames() {
    assert_bounded(&ContentFrame::Rows(
        (0..CONTENT_PAGE_ROWS).map(row).collect(),
    ));
}

/// Earlier builds decode the openings by their place in the list, so that a new one comes last.
#[test]
fn the_opening_keeps_the_places_of_earlier_ones() {
    const HEADER_BYTES: usize = 5;
    let place = |opening: &StreamOpening| encode(opening).unwrap()[HEADER_BYTES];
    let versions = StoreVersions::default();
    assert_eq!(place(&StreamOpening::StoreSnapshot(versions)), 6);
    assert_eq!(place(&StreamOpening::Waiting), 11);
    let request = ContentRequest {
        versions,
        declarations: Some(1),
        partial: Some(PartialDeclarations {
            digest: u128::MAX,
            bytes: 9,
        }),
        is_first: true,
    };
    assert_eq!(place(&StreamOpening::StoreContent(request)), 12);
}

/// Heads of the builds before orders of evacuation, before counts, and of the present one.
mod earlier {
    use super::{DeclarationsHead, EvacuationOrder, StoreVersions};
    use serde::{Deserialize, Serialize};

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum Frame<T> {
        Head(T),
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct First {
        pub versions: StoreVersions,
        pub evacuated: Vec<Box<str>>,
        pub rows: u64,
        pub is_difference: bool,
        pub declarations: Option<DeclarationsHead>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct WithOrders {
        pub first: First,
        pub orders: Option<Vec<EvacuationOrder>>,
    }
}

fn reread<A: serde::Serialize, B: serde::de::DeserializeOwned>(frame: &A) -> B {
    let mut reader = FrameReader::default();
    reader.push(&encode(frame).unwrap());
    reader.next_frame().unwrap().unwrap()
}

/// Operators replace gateways one by one, so that builds before and after exchange heads for a while.
#[test]
fn heads_of_earlier_builds_are_read_and_read_by_them() {
    let first = || earlier::First {
        versions: StoreVersions {
            operators: 7,
            servers: 8,
        },
        evacuated: vec!["a".into()],
        rows: 2,
        is_difference: true,
        declarations: None,
    };
    let orders = || {
        Some(vec![EvacuationOrder {
            domain: "a".into(),
            is_active: true,
            version: 6,
        }])
    };
    let counts = Some(vec![
        None,
        Some(WriterCount {
            incarnation: 1_700_000_000_000,
            sequence: 4,
        }),
    ]);
    let head = |orders, counts: Option<Vec<_>>| {
        let first = first();
        ContentFrame::Head(ContentHead {
            versions: first.versions,
            evacuated: first.evacuated,
            rows: first.rows,
            is_difference: first.is_difference,
            declarations: None,
            orders,
            is_starting: counts.is_some().then_some(true),
            counts,
        })
    };
    let present = head(orders(), counts);
    let with_orders = || earlier::WithOrders {
        first: first(),
        orders: orders(),
    };
    assert_eq!(
        reread::<_, ContentFrame>(&earlier::Frame::Head(first())),
        head(None, None)
    );
    assert_eq!(
        reread::<_, ContentFrame>(&earlier::Frame::Head(with_orders())),
        head(orders(), None)
    );
    assert_eq!(
        reread::<_, earlier::Frame<earlier::First>>(&present),
        earlier::Frame::Head(first())
    );
    assert_eq!(
        reread::<_, earlier::Frame<earlier::WithOrders>>(&present),
        earlier::Frame::Head(with_orders())
    );
    assert_eq!(reread::<_, ContentFrame>(&present), present);
}

#[test]
fn requests_of_earlier_builds_are_read_and_read_by_them() {
    let earlier = || {
        (
            StoreVersions::default(),
            Some(1_u128),
            None::<PartialDeclarations>,
        )
    };
    let (versions, declarations, partial) = earlier();
    let present = |is_first| ContentRequest {
        versions,
        declarations,
        partial,
        is_first,
    };
    assert_eq!(reread::<_, ContentRequest>(&earlier()), present(false));
    assert_eq!(
        reread::<_, (StoreVersions, Option<u128>, Option<PartialDeclarations>)>(&present(true)),
        earlier()
    );
}
