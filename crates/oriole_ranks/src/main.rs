//! `oriole-rank-agent`: the agent of one rank of an expert-parallel group, as a process.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use oriole_fleet::prelude::ExpertEngine;
use oriole_kernel::{logging, settings, signals, telemetry};
use oriole_platform::prelude::{PlatformDialect, PlatformEngine, PlatformStore};
use oriole_ranks::prelude::{AgentParts, RankAgent, RankAgentSettings};

/// oriolefield's agent of one rank of an expert-parallel group.
#[derive(FromArgs)]
struct Args {
    /// TOML file with the settings
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings, print the effective values, and exit
    #[argh(switch)]
    check: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let start = settings::load_at_start::<RankAgentSettings>(args.settings, args.check)?;
    let Some((path, cfg)) = start else {
        return Ok(());
    };
    telemetry::install_with_buckets();
    let log = logging::stdout_logger(&cfg.name, &cfg.log_level)?;
    let engine_timeout = Duration::from_millis(cfg.engine_timeout_ms);
    let store_timeout = Duration::from_millis(cfg.store_timeout_ms);
    let parts = AgentParts {
        engine: Arc::new(PlatformEngine::open(cfg.engine, engine_timeout)),
        connect_engine: Box::new(move |address| {
            Arc::new(PlatformEngine::open(address, engine_timeout)) as Arc<dyn ExpertEngine>
        }),
        dialect: Arc::new(PlatformDialect::default()),
        store: Arc::new(PlatformStore::open(cfg.store, store_timeout)),
    };
    let mut reloads = signals::reload_signal()?;
    let agent = RankAgent::bind(cfg, parts, log).await?;
    let stop = signals::shutdown_requested();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stopped = &mut stop => {
                stopped?;
                break;
            }
            Some(()) = reloads.recv() => {
                agent.log_reload(&settings::validate_reload::<RankAgentSettings>(&path));
            }
        }
    }
    agent.shutdown();
    Ok(())
}
