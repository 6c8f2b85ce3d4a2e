//! Splitting of byte streams into whole events, for any chunk boundaries.

use bytes::BytesMut;
use oriole_gateway::forward::events::EventSplitter;
use proptest::prelude::*;

fn stream(ids: std::ops::Range<u64>) -> Vec<u8> {
    ids.flat_map(|i| format!("id: {i}\ndata: token {i}\n\n").into_bytes())
        .collect()
}

proptest! {
    #[test]
    fn push_any_chunks_same_events(cuts in prop::collection::vec(1..40usize, 0..30)) {
        let bytes = stream(1..20);
        let mut splitter = EventSplitter::default();
        let mut out = BytesMut::new();
        let mut rest = &bytes[..];
        for cut in cuts {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            let events = splitter.push(now);
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            out.extend_from_slice(&events);
            rest = later;
        }
        out.extend_from_slice(&splitter.push(rest));
        prop_assert_eq!(&out[..], &bytes[..]);
        prop_assert_eq!(splitter.last_id(), Some(19));
        prop_assert!(!splitter.has_partial());
    }

    /// A stream that breaks anywhere and is resumed from its last whole event, or from an earlier
    /// one, reaches the caller complete and without duplicates.
    #[test]
    fn push_resumed_anywhere_no_gap_or_duplicate(cut in 0..300usize, again in 0..3u64) {
        let first = stream(1..20);
        let mut splitter = EventSplitter::default();
        let mut out = BytesMut::new();
        out.extend_from_slice(&splitter.push(&first[..cut.min(first.len())]));
        splitter.discard_partial();
        let from = splitter.last_id().unwrap_or(0) + 1;
        out.extend_from_slice(&splitter.push(&stream(from.saturating_sub(again).max(1)..20)));
        prop_assert_eq!(&out[..], &first[..]);
    }
}

#[test]
fn push_incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\ndata: to").is_empty());
    assert!(splitter.has_partial());
}
