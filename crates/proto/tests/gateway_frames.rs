//! Sizes of the frames that gateways exchange all the time.

use proto::{
    BackendEntry, BackendRow, ClockReading, Confirmation, ConfirmationReport, Confirmed,
    FrameReader, LoadFrame, ServerReport, ServerState, ServerUsage, StoreSnapshot, StoreVersions,
    encode,
};
use std::time::Duration;

const SERVERS: usize = 60;

fn versions() -> StoreVersions {
    StoreVersions {
        operators: 1_200,
        servers: 5_400,
    }
}

/// Load on 60 engines, all of it with the sizes of a busy fleet.
fn load() -> LoadFrame {
    let usage = |index: usize| ServerUsage {
        jobs: 3,
        prefill_remaining: Duration::from_micros(1_234_567),
        tokens: 96_000,
        min_event_gap_target: match index % 2 {
            0 => Duration::MAX,
            _ => Duration::from_millis(60),
        },
        long_prefills: 1,
    };
    let key = |index: usize| u64::MAX / SERVERS as u64 * (index as u64 + 1);
    LoadFrame {
        servers: (0..SERVERS)
            .map(|index| (key(index), usage(index)))
            .collect(),
        versions: versions(),
        reaches_store: true,
        declarations: 1_200,
    }
}

fn snapshot(rows: usize) -> StoreSnapshot {
    let row = |index: usize| {
        let id: Box<str> = format!("engine-{index}-4f2a").into();
        let entry = BackendEntry {
            id: id.clone(),
            service: "label-draft".into(),
            address: ([10, 0, 3, index as u8], 8_080).into(),
            domain: "zone-a".into(),
            slots: 12,
            draining: false,
        };
        (id, BackendRow::Present(entry), 5_000 + index as u64)
    };
    StoreSnapshot {
        versions: versions(),
        declarations: None,
        evacuated: Vec::new(),
        servers: (0..rows).map(row).collect(),
        is_difference: rows < SERVERS,
    }
}

fn size<T: serde::Serialize>(message: &T) -> usize {
    encode(message).unwrap().len()
}

/// Gateways send a load frame to each peer several times a second, and a snapshot for each change of a
/// server's row: a field that is costly to encode is paid between failure domains.
#[test]
fn frames_stay_small() {
    assert!(size(&load()) <= 1_800, "load frame: {}", size(&load()));
    let all = size(&snapshot(SERVERS));
    assert!(all <= 3_700, "snapshot of all servers: {all}");
    let difference = size(&snapshot(1));
    assert!(difference <= 80, "difference of one row: {difference}");
}

/// Guards against gateways of an earlier build that no longer hear each other's load, as its frames end
/// before the version of the declarations.
#[test]
fn load_frames_of_an_earlier_build_are_read_and_read_by_it() {
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    struct EarlierFrame {
        servers: Vec<(u64, ServerUsage)>,
        known: StoreVersions,
        reaches_store: bool,
    }
    let frame = load();
    let earlier = || EarlierFrame {
        servers: frame.servers.clone(),
        known: frame.versions,
        reaches_store: frame.reaches_store,
    };
    let mut reader = FrameReader::default();
    reader.push(&encode(&earlier()).unwrap());
    let read: LoadFrame = reader.next_frame().unwrap().unwrap();
    let unnamed = LoadFrame {
        declarations: 0,
        ..frame.clone()
    };
    assert_eq!(read, unnamed);
    reader.push(&encode(&frame).unwrap());
    assert_eq!(reader.next_frame().unwrap(), Some(earlier()));
    reader.push(&encode(&frame).unwrap());
    assert_eq!(reader.next_frame().unwrap(), Some(frame));
}

/// Guards against gateways of two versions that misread each other's reports on servers that refuse
/// connections: the state was a `bool` that says whether the server accepts them.
#[test]
fn states_of_servers_are_encoded_as_before() {
    let (server, domain, age) = (7_u64, 9_u64, Duration::from_millis(12));
    for (state, accepts) in [(ServerState::Refuses, false), (ServerState::Accepts, true)] {
        let report = ServerReport {
            server,
            domain,
            state,
            age,
        };
        let before = encode(&(server, domain, accepts, age)).unwrap();
        assert_eq!(encode(&report).unwrap(), before);
    }
}

#[test]
fn reports_behind_load_are_read_and_passed_over_by_earlier_builds() {
    let reading = ClockReading {
        process: 7,
        at: Duration::from_millis(1_234),
    };
    let sent = Confirmed {
        message: load(),
        report: ConfirmationReport {
            clock: reading,
            confirmation: Some(Confirmation {
                declarations: 5,
                reading,
                offset_ms: -3,
            }),
        },
        is_starting: true,
    };
    let mut reader = FrameReader::default();
    reader.push(&encode(&sent).unwrap());
    reader.push(&encode(&sent).unwrap());
    reader.push(&encode(&load()).unwrap());
    assert_eq!(reader.next_frame().unwrap(), Some(sent.clone()));
    assert_eq!(reader.next_frame().unwrap(), Some(load()));
    let earlier: Confirmed<LoadFrame> = reader.next_frame().unwrap().unwrap();
    assert_eq!(earlier.message, load());
    assert_eq!(earlier.report, ConfirmationReport::default());
    assert!(!earlier.is_starting, "it may have run on");
    reader.push(&encode(&(&sent.message, &sent.report)).unwrap());
    let earlier: Confirmed<LoadFrame> = reader.next_frame().unwrap().unwrap();
    assert_eq!((earlier.report, earlier.is_starting), (sent.report, false));
}
