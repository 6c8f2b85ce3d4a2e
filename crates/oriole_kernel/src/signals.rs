//! Signals for shutdown (SIGINT, SIGTERM) and reload (SIGHUP).

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub async fn shutdown_requested() -> std::io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}

/// Receives SIGHUP, which requests a process to reread its settings.
///
/// # Errors
///
/// Fails if the signal handler cannot be installed.
pub fn reload_signal() -> std::io::Result<tokio::signal::unix::Signal> {
    signal(SignalKind::hangup())
}
