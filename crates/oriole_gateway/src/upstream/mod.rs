//! Pool of connections to upstreams.

mod connection;

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

pub use self::connection::{Connection, SendError, StrayBytesHandler};

/// Most idle connections kept per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 4;

/// Idle time after which [`ConnectionPool::tick`] closes a connection. Also the longest idle time
/// before reuse if the upstream states no keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Share of the keep-alive time stated by an upstream during which its connection is reused, so
/// that a request does not race with the upstream closing it.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Longest idle time after which a connection still carries a request that may run at most once. If
/// such a request lost a race with the upstream closing the connection, it would be unknown whether
/// it ran.
pub const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::from_millis(300);

struct IdleConnection {
    connection: Connection,
    idle_since: Duration,
}

/// Idle connections by instance.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a usable connection that has been idle for less than `max_idle`.
    pub fn take(&self, now: Duration, instance: &str, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(instance)?;
        while let Some(last) = connections.pop() {
            let limit = last
                .connection
                .keep_alive
                .map_or(DEFAULT_IDLE_TIMEOUT, |k| k.mul_f64(KEEP_ALIVE_SHARE))
                .min(max_idle);
            if now < last.idle_since + limit && last.connection.is_usable() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Stores a connection whose last response was read in full, or closes it if the upstream has
    /// enough idle ones.
    pub fn put_back(&self, now: Duration, instance: &str, mut connection: Connection) {
        connection.is_reused = true;
        let mut idle = self.lock();
        let connections = idle.entry(instance.to_owned()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
            });
        }
    }

    /// Closes connections that have been idle for the default timeout, whatever the upstream states,
    /// and drops those that the upstream has closed.
    pub fn tick(&self, now: Duration) {
        self.lock().retain(|_, connections| {
            connections
                .retain(|c| now < c.idle_since + DEFAULT_IDLE_TIMEOUT && c.connection.is_usable());
            !connections.is_empty()
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
