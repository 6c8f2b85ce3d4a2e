//! One daemon on a runtime of its own, so that it can be killed, paused and restarted.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::eyre;
use futures::future::BoxFuture;
use tokio::runtime::Runtime;

/// A daemon on a runtime of its own.
///
/// Killing it drops every task at the point where it waits, as the end of a process would. Pausing
/// it stops its threads while its sockets stay open.
pub struct Vm<D> {
    threads: usize,
    running: Mutex<Option<Running<D>>>,
}

struct Running<D> {
    runtime: Runtime,
    daemon: D,
}

impl<D: Send + 'static> Vm<D> {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not start.
    pub async fn start(
        threads: usize,
        start: BoxFuture<'static, eyre::Result<D>>,
    ) -> eyre::Result<Self> {
        let vm = Self {
            threads,
            running: Mutex::new(None),
        };
        vm.restart(start).await?;
        Ok(vm)
    }

    /// Starts a daemon in place of one that was killed.
    ///
    /// # Errors
    ///
    /// Fails if one runs already, or if it does not start.
    pub async fn restart(&self, start: BoxFuture<'static, eyre::Result<D>>) -> eyre::Result<()> {
        if self.lock().is_some() {
            return Err(eyre!("the daemon runs already"));
        }
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(self.threads)
            .enable_all()
            .build()?;
        let started = runtime.spawn(start).await;
        match started {
            Ok(Ok(daemon)) => {
                *self.lock() = Some(Running { runtime, daemon });
                Ok(())
            }
            Ok(Err(e)) => {
                runtime.shutdown_background();
                Err(e)
            }
            Err(e) => {
                runtime.shutdown_background();
                Err(e.into())
            }
        }
    }

    /// Ends the daemon at once; `false` if none runs.
    pub async fn kill(&self) -> bool {
        let Some(running) = self.lock().take() else {
            return false;
        };
        // A runtime may only be waited for where blocking is allowed.
        let ended = tokio::task::spawn_blocking(move || {
            running.runtime.shutdown_timeout(KILL_TIMEOUT);
            drop(running.daemon);
        });
        ended.await.is_ok()
    }

    /// Stops the daemon's threads for a while; `false` if none runs.
    pub fn pause(&self, length: Duration) -> bool {
        let running = self.lock();
        let Some(running) = running.as_ref() else {
            return false;
        };
        for _ in 0..self.threads {
            running
                .runtime
                .spawn(async move { std::thread::sleep(length) });
        }
        true
    }

    /// Whether a daemon runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.lock().is_some()
    }

    /// Looks at the daemon if one runs.
    pub fn with<T>(&self, look: impl FnOnce(&D) -> T) -> Option<T> {
        self.lock().as_ref().map(|running| look(&running.daemon))
    }

    /// Shuts the daemon down gracefully.
    pub async fn shutdown<F, Fut>(&self, end: F)
    where
        F: FnOnce(D) -> Fut,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let Some(running) = self.lock().take() else {
            return;
        };
        // The daemon's end is awaited on its own runtime; a panic there is an end too.
        let _ = running.runtime.spawn(end(running.daemon)).await;
        running.runtime.shutdown_background();
    }

    fn lock(&self) -> MutexGuard<'_, Option<Running<D>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Longest time that the threads of a killed daemon are waited for.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);

impl<D> Drop for Vm<D> {
    fn drop(&mut self) {
        let running = self
            .running
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(running) = running {
            running.runtime.shutdown_background();
        }
    }
}
