//! Connections to upstreams, kept between requests.

mod connection;

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

pub use self::connection::{Connection, SendError};

/// Idle connections kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 4;

/// Time for which an idle connection is kept if the upstream tells none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Share of the time told by an upstream for which its connection is reused: a request must not
/// cross its close.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Idle time up to which a connection carries a request that may run at most once. A lost race with
/// the upstream's close would leave it unknown whether it ran.
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
    /// Takes an idle connection that has not been idle for longer than some time.
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

    /// Keeps a connection whose last answer was read in full.
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

    /// Closes what has been idle for long.
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
