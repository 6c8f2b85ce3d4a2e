//! `oriole-gateway`: the process that runs the entry daemon for plain HTTP.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use oriole_fleet::prelude::{Dialect, FleetStore};
use oriole_gateway::prelude::{GatewayDaemon, GatewaySettings};
use oriole_kernel::registry::Registry;
use oriole_kernel::{logging, settings, signals, telemetry};
use oriole_platform::prelude::{PlatformDialect, PlatformStore};

/// Names under which the platform's adapters are registered.
const DIALECT: &str = "dialect";
const STORE: &str = "store";

/// An entry daemon of oriolefield that speaks plain HTTP with callers and upstreams.
#[derive(FromArgs)]
struct Args {
    /// TOML file with the settings
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings, print the effective values, and exit
    #[argh(switch)]
    check: bool,
}

/// Registers the adapters of the platform named in the settings.
fn register_platform(cfg: &GatewaySettings, registry: &Registry) -> eyre::Result<()> {
    if cfg.platform != "fleet" {
        eyre::bail!("platform = {:?}: allowed is \"fleet\"", cfg.platform);
    }
    let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect::default());
    let timeout = Duration::from_millis(cfg.store.timeout_ms);
    let store: Arc<dyn FleetStore> = Arc::new(PlatformStore::open(cfg.store.address, timeout));
    registry.insert(DIALECT, Arc::new(dialect))?;
    registry.insert(STORE, Arc::new(store))?;
    Ok(())
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let start = settings::load_at_start::<GatewaySettings>(args.settings, args.check)?;
    let Some((path, cfg)) = start else {
        return Ok(());
    };
    telemetry::install_with_buckets();
    let log = logging::stdout_logger(&cfg.name, &cfg.log_level)?;
    let registry = Registry::default();
    register_platform(&cfg, &registry)?;
    let dialect = registry.get::<Arc<dyn Dialect>>(DIALECT)?;
    let store = registry.get::<Arc<dyn FleetStore>>(STORE)?;
    let mut reloads = signals::reload_signal()?;
    let daemon = GatewayDaemon::bind(cfg, (*dialect).clone(), (*store).clone(), log).await?;
    let stop = signals::shutdown_requested();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stopped = &mut stop => {
                stopped?;
                break;
            }
            Some(()) = reloads.recv() => daemon.reloaded(&settings::validate_reload::<GatewaySettings>(&path)),
        }
    }
    daemon.shutdown().await;
    Ok(())
}
