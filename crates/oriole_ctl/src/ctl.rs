//! Runs commands against a store and a fleet.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriole_catalog::edit::Edit;
use oriole_catalog::stored::{ChangeMeta, Repository, RepositoryConfig};
use oriole_store::prelude::*;
use oriole_types::prelude::*;

use crate::args::{Args, Command};
use crate::commands;
use crate::error::{CtlError, ExitStatus};
use crate::fleet::FleetClient;
use crate::reply::Reply;
use crate::settings::Settings;

/// Wall clock; returns milliseconds since the Unix epoch.
pub type WallClock = fn() -> u64;

/// Runs operators' commands against a store and a fleet.
#[derive(Clone)]
pub struct Ctl {
    pub(crate) settings: Settings,
    pub(crate) repository: Repository,
    pub(crate) fleet: FleetClient,
    clock: WallClock,
}

impl Ctl {
    /// Opens clients of the store and the VM list in the settings. Must be called within a tokio
    /// runtime.
    #[must_use]
    pub fn open(settings: Settings) -> Self {
        let store = HttpStore::open(settings.store, StoreClientConfig::default());
        Self::with_store(settings, Arc::new(store), unix_ms)
    }

    /// Uses a store client that is already open; `clock` stamps changes in the history.
    #[must_use]
    pub fn with_store(settings: Settings, store: Arc<dyn Store>, clock: WallClock) -> Self {
        let cfg = RepositoryConfig {
            settle_timeout: Duration::from_millis(settings.settle_timeout_ms),
            ..RepositoryConfig::default()
        };
        Self {
            repository: Repository::open(store, cfg),
            fleet: FleetClient::new(settings.vm_list, settings.answer_timeout()),
            settings,
            clock,
        }
    }

    /// Runs one command.
    ///
    /// # Errors
    ///
    /// Fails with an error whose exit status tells the cause; see [`ExitStatus`].
    pub async fn run(&self, command: &Command) -> Result<Reply, CtlError> {
        match command {
            Command::Apply(args) => commands::catalog::apply(self, args).await,
            Command::Get(args) => commands::catalog::get(self, args).await,
            Command::Diff(args) => commands::catalog::diff(self, args).await,
            Command::History(args) => commands::catalog::history(self, args).await,
            Command::Rollback(args) => commands::catalog::rollback(self, args).await,
            Command::Domain(args) => commands::service::domain(self, args).await,
            Command::Vm(args) => commands::service::vm(self, args).await,
            Command::Block(args) => commands::block::block(self, args).await,
            Command::Release(args) => commands::block::release(self, args).await,
            Command::Status(args) => commands::status::status(self, args).await,
            Command::Explain(args) => commands::explain::explain(self, args).await,
            Command::AccountKey(_) => commands::account_key::account_key(),
            Command::Trace(args) => commands::trace::trace(args),
        }
    }

    pub(crate) fn change_meta(&self, message: &str) -> ChangeMeta {
        ChangeMeta {
            author: self.settings.author.clone(),
            message: message.to_owned(),
            at_unix_ms: (self.clock)(),
        }
    }

    /// Reads the newest catalog.
    pub(crate) async fn catalog(&self) -> Result<Arc<Catalog>, CtlError> {
        Ok(Arc::clone(self.repository.read().await?.catalog()))
    }

    /// Makes a change and, with `wait`, waits until every entry uses it.
    pub(crate) async fn change(
        &self,
        edit: &Edit,
        message: &str,
        wait: bool,
    ) -> Result<Reply, CtlError> {
        let accepted = self
            .repository
            .change(edit, &self.change_meta(message))
            .await?;
        commands::accepted_reply(self, accepted, wait).await
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

/// An error as JSON.
#[derive(serde::Serialize)]
struct ErrorReply {
    outcome: ExitStatus,
    message: String,
}

/// Runs a command line without the program's name; returns the text to print and the exit status.
pub async fn run_command_line(args: &[&str]) -> (String, ExitStatus) {
    let (args, json) = match Args::parse(args) {
        Ok(parsed) => parsed,
        Err(e) if e.status.is_ok() => return (e.output, ExitStatus::Done),
        Err(e) => return (e.output, ExitStatus::Invalid),
    };
    render_result(run_args(&args).await, json)
}

/// Renders a command's result as the text to print and the exit status.
#[must_use]
pub fn render_result(result: Result<Reply, CtlError>, json: bool) -> (String, ExitStatus) {
    match result {
        Ok(reply) => (reply.render(json), ExitStatus::Done),
        Err(e) if json => {
            let outcome = e.exit_status();
            let message = e.to_string();
            let reply = serde_json::to_string(&ErrorReply { outcome, message });
            (reply.unwrap_or_default(), outcome)
        }
        Err(e) => (e.to_string(), e.exit_status()),
    }
}

async fn run_args(args: &Args) -> Result<Reply, CtlError> {
    // These need neither settings nor store nor fleet.
    match &args.command {
        Some(Command::AccountKey(_)) => return commands::account_key::account_key(),
        Some(Command::Trace(args)) => return commands::trace::trace(args),
        _ => {}
    }
    let settings = Settings::read(&args.settings)?;
    if args.check {
        let text = toml::to_string(&settings).map_err(|e| CtlError::Reply(e.to_string()))?;
        return Reply::new(text, &settings);
    }
    match &args.command {
        Some(command) => Ctl::open(settings).run(command).await,
        None => Err(CtlError::Argument(
            "no command; see oriolectl --help".to_owned(),
        )),
    }
}
