//! `oriole-agent`: the agent daemon as a process.
#![forbid(unsafe_code)]

use std::path::PathBuf;

use argh::FromArgs;
use oriole_agent::prelude::{AgentDaemon, AgentSettings};
use oriole_kernel::{logging, settings, signals, telemetry};

/// An agent daemon of oriolefield.
#[derive(FromArgs)]
struct Args {
    /// TOML file with the settings
    #[argh(option)]
    settings: PathBuf,
    /// check the settings, print the effective values, and exit
    #[argh(switch)]
    check: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let start = settings::load_at_start::<AgentSettings>(Some(args.settings), args.check)?;
    let Some((_, settings)) = start else {
        return Ok(());
    };
    telemetry::install();
    let level = logging::parse_level(&settings.log_level).map_err(|e| eyre::eyre!(e))?;
    let log = logging::stderr_logger(settings.name.as_str(), level);
    let daemon = AgentDaemon::bind(&settings, log).await?;
    signals::shutdown_requested().await?;
    daemon.shutdown().await;
    Ok(())
}
