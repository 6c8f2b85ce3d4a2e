//! Feeds the events of this daemon's own streams to the estimate of their group.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::traffic::Pick;

/// The events of one stream of an ordered service, until dropped.
pub struct StreamPace {
    gateway: Arc<Gateway>,
    group: String,
    /// Epoch of the group in which the stream had its first event.
    epoch: u64,
    last_event_at: Option<Duration>,
}

impl StreamPace {
    /// Follows a stream; `None` if its service is not ordered or its upstream belongs to no group.
    pub fn open(gateway: &Arc<Gateway>, service: &str, pick: &Pick) -> Option<Self> {
        let group = pick.group.clone()?;
        gateway.streams().is_ordered(service).then(|| Self {
            gateway: gateway.clone(),
            group,
            epoch: 0,
            last_event_at: None,
        })
    }

    /// Records that events of the stream arrived.
    pub fn on_event(&mut self) {
        let now = self.gateway.clock.now();
        let mut state = self.gateway.streams().lock();
        let Some(group) = state.groups.get_mut(self.group.as_str()) else {
            return;
        };
        if self.last_event_at.is_none() || self.epoch != group.progress.id() {
            self.epoch = group.progress.id();
            self.last_event_at = None;
            group.progress.on_stream_started();
        }
        let previous = self.last_event_at.replace(now);
        group.progress.on_event(now, previous);
    }
}

impl Drop for StreamPace {
    fn drop(&mut self) {
        let mut state = self.gateway.streams().lock();
        if self.last_event_at.is_some()
            && let Some(group) = state.groups.get_mut(self.group.as_str())
            && group.progress.id() == self.epoch
        {
            group.progress.on_stream_ended();
        }
    }
}
