//! Runs a daemon on its own runtime, so that it can be killed, paused and restarted.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::eyre;
use futures::future::BoxFuture;
use tokio::runtime::Runtime;

/// A daemon on its own runtime; stands for a VM.
///
/// Killing the daemon drops its tasks wherever they wait, like a process that is killed. Pausing it
/// blocks its threads while its sockets stay open.
pub struct Vm<D> {
    threads: usize,
    running: Mutex<Option<Running<D>>>,
}

struct Running<D> {
    runtime: Runtime,
    daemon: D,
}

impl<D: Send + 'static> Vm<D> {
    /// Starts a daemon on a new runtime with this number of worker threads.
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

    /// Starts a daemon after the previous one was killed.
    ///
    /// # Errors
    ///
    /// Fails if a daemon is already running, or if the new one does not start.
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

    /// Kills the daemon without a graceful shutdown; returns `false` if none is running.
    pub async fn kill(&self) -> bool {
        let Some(running) = self.lock().take() else {
            return false;
        };
        // `shutdown_timeout` blocks, which a task of an async runtime must not do.
        let shut_down = tokio::task::spawn_blocking(move || {
            running.runtime.shutdown_timeout(KILL_TIMEOUT);
            drop(running.daemon);
        });
        shut_down.await.is_ok()
    }

    /// Blocks the daemon's threads for a time; returns `false` if none is running.
    pub fn pause(&self, duration: Duration) -> bool {
        let running = self.lock();
        let Some(running) = running.as_ref() else {
            return false;
        };
        for _ in 0..self.threads {
            running
                .runtime
                .spawn(async move { std::thread::sleep(duration) });
        }
        true
    }

    /// Whether a daemon is running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.lock().is_some()
    }

    /// Calls a function with the daemon; returns `None` if none is running.
    pub fn with<T>(&self, f: impl FnOnce(&D) -> T) -> Option<T> {
        self.lock().as_ref().map(|running| f(&running.daemon))
    }

    /// Shuts the daemon down gracefully, by calling `stop` on its own runtime.
    pub async fn shutdown<F, Fut>(&self, stop: F)
    where
        F: FnOnce(D) -> Fut,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let Some(running) = self.lock().take() else {
            return;
        };
        // A panic in `stop` is ignored: the daemon has ended either way.
        let _ = running.runtime.spawn(stop(running.daemon)).await;
        running.runtime.shutdown_background();
    }

    fn lock(&self) -> MutexGuard<'_, Option<Running<D>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Maximum wait for the threads of a killed daemon to end.
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
