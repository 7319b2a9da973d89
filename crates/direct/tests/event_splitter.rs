//! `EventSplitter` must pass on complete events only.

use direct::{EventError, EventSplitter};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: a\n\n")
}

/// However the bytes of a stream are chunked, callers get the same complete events. Part of an event
/// must not be passed on, as another server sends that event again from its start after a failover.
#[test]
fn events_are_whole_however_they_arrive() {
    let stream: String = (1..6).map(event).collect();
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::after(None);
        let mut passed = Vec::new();
        for chunk in stream.as_bytes().chunks(size) {
            if let Some(events) = splitter.push(chunk).unwrap() {
                assert!(events.ends_with(b"\n\n"));
                passed.extend_from_slice(&events);
            }
        }
        assert_eq!(passed, stream.as_bytes(), "pieces of {size} bytes");
        assert_eq!(
            (splitter.last_event(), splitter.has_partial()),
            (Some(5), false)
        );
    }
}

#[test]
fn part_of_an_event_is_held_back() {
    let mut splitter = EventSplitter::after(None);
    let text = format!("{}id: 2\nda", event(1));
    assert_eq!(splitter.push(text.as_bytes()).unwrap().unwrap(), event(1));
    assert_eq!(
        (splitter.last_event(), splitter.has_partial()),
        (Some(1), true)
    );
}

#[test]
fn events_that_were_passed_on_already_are_refused() {
    let mut splitter = EventSplitter::after(Some(4));
    let result = splitter.push(event(4).as_bytes());
    assert_eq!(result, Err(EventError::OutOfOrder(4, 4)));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::after(None);
    let text = "id: 7\r\ndata: a\r\n\r\n";
    assert_eq!(splitter.push(text.as_bytes()).unwrap().unwrap(), text);
    assert_eq!(splitter.last_event(), Some(7));
}

/// Bytes without end arrived in place of an answer, and were buffered or passed on.
#[test]
fn bytes_that_are_no_answer_are_bounded() {
    const PIECE: [u8; 4_096] = [b'x'; 4_096];
    const BOUND: usize = 256 << 10;
    let taken = |mut splitter: EventSplitter, piece: &[u8]| {
        let mut taken = 0;
        loop {
            match splitter.push(piece) {
                Ok(_) => taken += piece.len(),
                Err(err) => break (taken, err),
            }
        }
    };
    let (bytes, err) = taken(EventSplitter::after(None), &PIECE);
    assert_eq!((bytes, err), (BOUND, EventError::TooLarge));
    let nameless = "data: no id\n\n".repeat(300);
    let (bytes, _) = taken(EventSplitter::after(None), nameless.as_bytes());
    assert!(bytes <= BOUND);
    let (bytes, err) = taken(EventSplitter::after(Some(3)), nameless.as_bytes());
    assert!(bytes <= BOUND && err == EventError::NoId);
}

/// Events without an id, such as comments, may stand before and between those with one.
#[test]
fn events_without_ids_go_with_those_that_have_one() {
    let mut splitter = EventSplitter::after(None);
    assert_eq!(splitter.push(b": comment\n\n").unwrap(), None);
    let events = splitter.push(b"id: 1\ndata: a\n\n").unwrap().unwrap();
    assert_eq!(&*events, b": comment\n\nid: 1\ndata: a\n\n");
    let events = splitter.push(b": comment\n\n").unwrap().unwrap();
    assert_eq!(&*events, b": comment\n\n");
}

/// The text of an error or the head of another answer in place of an event was passed on.
#[test]
fn what_is_no_event_is_not_passed_on() {
    let texts = [
        "out of memory\n\n",
        "overloaded\n\n",
        "{\"error\":\"full\"}\n\n",
        "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\nfull",
        "out of memory\nid: 5\ndata: a\n\n",
    ];
    for text in texts {
        let mut splitter = EventSplitter::after(Some(4));
        assert_eq!(
            splitter.push(text.as_bytes()),
            Err(EventError::Malformed),
            "{text}"
        );
        assert_eq!(splitter.last_event(), Some(4));
        let mut splitter = EventSplitter::after(Some(3));
        let events = splitter.push(format!("{}{text}", event(4)).as_bytes());
        assert_eq!(events.unwrap().unwrap(), event(4), "{text}");
        assert!(splitter.has_partial());
        assert_eq!(splitter.push(b"\n"), Err(EventError::Malformed), "{text}");
    }
    let mut splitter = EventSplitter::after(Some(4));
    assert_eq!(splitter.push(b"data: out of memory\n\n").unwrap(), None);
    assert!(
        splitter.has_partial(),
        "an event without an id ends nothing"
    );
}

/// Fields that the gateway does not know, such as the version of an engine's weights, are passed on.
#[test]
fn events_may_have_further_fields() {
    let text = "x-weight-versions: 3\nid: 5\nevent: token\ndata\nretry: 10\n\n";
    let mut splitter = EventSplitter::after(Some(4));
    assert_eq!(splitter.push(text.as_bytes()).unwrap().unwrap(), text);
}
