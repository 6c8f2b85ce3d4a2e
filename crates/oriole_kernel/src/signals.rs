//! Signals that ask a process to end.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails if the signals cannot be received.
pub async fn shutdown_requested() -> std::io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}

/// A signal that asks a process to read its settings again.
///
/// # Errors
///
/// Fails if the signal cannot be received.
pub fn reload_signal() -> std::io::Result<tokio::signal::unix::Signal> {
    signal(SignalKind::hangup())
}
