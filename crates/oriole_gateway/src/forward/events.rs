//! Splits a byte stream into whole server-sent events.

use bytes::{Bytes, BytesMut};

/// Returns whole events and buffers an incomplete one until its end arrives.
///
/// ```
/// use oriole_gateway::forward::events::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\n"), &b"id: 1\ndata: a\n\n"[..]);
/// assert_eq!(splitter.last_id(), Some(1));
/// assert!(splitter.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a caller that already has all events up to `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Appends bytes and returns the newly completed events, without those that the caller already
    /// has.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // The bytes before hold no end of an event, except for its first half.
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.partial[searched..]) else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(searched + end).freeze();
        self.without_duplicates(whole)
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Bytes of the incomplete event.
    #[must_use]
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Discards the incomplete event of a stream that broke.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    fn without_duplicates(&mut self, whole: Bytes) -> Bytes {
        let mut kept = BytesMut::new();
        let mut skipped = false;
        let mut start = 0;
        while start < whole.len() {
            let len = end_of_first_event(&whole[start..]).unwrap_or(whole.len() - start);
            let event = &whole[start..start + len];
            start += len;
            let id = event_id(event);
            if id.is_some() && id <= self.last_id {
                skipped = true;
                continue;
            }
            self.last_id = id.or(self.last_id);
            kept.extend_from_slice(event);
        }
        if skipped { kept.freeze() } else { whole }
    }
}

fn end_of_first_event(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|w| w == b"\n\n").map(|i| i + 2)
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|b| *b == b'\n').find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
