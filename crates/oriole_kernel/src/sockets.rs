//! TCP connections that detect an unresponsive peer.
//!
//! A peer that lost power or is behind a network partition neither answers nor resets its connections.
//! Keep-alive probes and a timeout for unacknowledged data detect it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted. If the queue is full, the kernel drops
/// the SYN packet and the caller resends it only after a second or more.
const LISTEN_BACKLOG: u32 = 1024;

/// Timeouts after which an unresponsive peer is detected.
#[derive(Clone, Copy, Debug)]
pub struct TcpTimeouts {
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// Idle time before the first keep-alive probe; at least a second, as the kernel counts in
    /// seconds.
    pub keepalive_idle: Duration,
    /// Time between keep-alive probes; at least a second.
    pub keepalive_interval: Duration,
    /// Number of unanswered keep-alive probes after which the connection is closed.
    pub keepalive_probes: u32,
    /// Maximum time that sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub unacknowledged: Duration,
}

impl Default for TcpTimeouts {
    /// Detects an unresponsive peer within about two seconds, the minimum that keep-alive probes allow.
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            keepalive_idle: Duration::from_secs(1),
            keepalive_interval: Duration::from_secs(1),
            keepalive_probes: 1,
            unacknowledged: Duration::from_millis(1500),
        }
    }
}

impl TcpTimeouts {
    /// Sets the timeouts on a connection, and `TCP_NODELAY`.
    ///
    /// # Errors
    ///
    /// Fails if the kernel refuses a socket option.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.keepalive_idle)
            .with_interval(self.keepalive_interval)
            .with_retries(self.keepalive_probes);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(self.unacknowledged))
    }

    /// Connects to an address and sets the timeouts on the connection.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses the connection or [`TcpTimeouts::connect`] has passed. No data was
    /// sent then.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = tokio::time::timeout(self.connect, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.apply(&stream)?;
        Ok(stream)
    }
}

/// Makes closing a connection reset it (`SO_LINGER` of zero). Data that the peer has not read yet is
/// discarded, so that a stalled peer does not run an abandoned request when it resumes.
///
/// # Errors
///
/// Fails if the kernel refuses a socket option.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Listens at an address. It may have been used by an earlier run of the process (`SO_REUSEADDR`).
///
/// # Errors
///
/// Fails if the address is in use or not available.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
