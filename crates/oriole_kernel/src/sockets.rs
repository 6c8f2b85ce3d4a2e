//! TCP connections that notice a silent peer.
//!
//! A peer without power or behind a partition neither answers nor resets, so every connection has
//! keep-alive probes and a limit on unacknowledged bytes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be accepted. A full queue costs a caller a second or more, since
/// the opening packet is dropped and sent again.
const LISTEN_BACKLOG: u32 = 1024;

/// How soon a silent peer is noticed.
#[derive(Clone, Copy, Debug)]
pub struct TcpTimeouts {
    /// Time to establish a connection.
    pub connect: Duration,
    /// Idle time before the first probe; at least a second, the unit that the kernel takes.
    pub probe_after: Duration,
    /// Time between probes; at least a second.
    pub probe_interval: Duration,
    /// Probes without an answer that end the connection.
    pub probes: u32,
    /// Time for which sent bytes may stay unacknowledged.
    pub unacknowledged: Duration,
}

impl Default for TcpTimeouts {
    /// Notices silence within about two seconds, the kernel's shortest probes.
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            probe_after: Duration::from_secs(1),
            probe_interval: Duration::from_secs(1),
            probes: 1,
            unacknowledged: Duration::from_millis(1500),
        }
    }
}

impl TcpTimeouts {
    /// Puts the limits on a connection.
    ///
    /// # Errors
    ///
    /// Passes on the kernel's refusal.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.probe_after)
            .with_interval(self.probe_interval)
            .with_retries(self.probes);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(self.unacknowledged))
    }

    /// Connects within the time limit.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses or the time is up; nothing has been sent then.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = tokio::time::timeout(self.connect, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.apply(&stream)?;
        Ok(stream)
    }
}

/// Makes a connection reset when it is closed: what the peer has not read yet is dropped on the way,
/// so that an abandoned request is not run by a peer that wakes later.
///
/// # Errors
///
/// Passes on the kernel's refusal.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Listens at an address that an earlier run of the process may have used.
///
/// # Errors
///
/// Fails if the address is not the process's to use.
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
