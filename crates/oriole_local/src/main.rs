//! `oriole-local`: a whole deployment in one process on loopback.
#![forbid(unsafe_code)]

use argh::FromArgs;
use oriole_kernel::{logging, signals, telemetry};
use oriole_local::demo;
use oriole_local::prelude::{Deployment, DeploymentName, DeploymentSpec};

/// Default number of rounds of the demonstration workload.
const DEMO_ROUNDS: usize = 40;

/// Run a whole deployment of oriolefield in one process on loopback: stand-ins for the platform
/// and the upstreams, agents, entries. Prints one JSON line when ready, then runs until a signal.
#[derive(FromArgs)]
struct Args {
    /// deployment: grucce or islandwash (default grucce)
    #[argh(option, default = "DeploymentName::default()")]
    deployment: DeploymentName,
    /// start as many VMs as in production: 18 entries, 16 engines, 3 services
    #[argh(switch)]
    full_size: bool,
    /// lowest log level of the daemons (default warning)
    #[argh(option, default = "String::from(\"warning\")")]
    log_level: String,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArgs),
}

/// Send a small workload, show progress, and print a table of outcomes and latency per entry.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// deployment: grucce or islandwash
    #[argh(option)]
    deployment: Option<DeploymentName>,
    /// rounds of the workload (default 40)
    #[argh(option, default = "DEMO_ROUNDS")]
    rounds: usize,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    telemetry::install();
    match &args.command {
        Some(Command::Demo(demo_args)) => {
            let name = demo_args.deployment.unwrap_or(args.deployment);
            let deployment = Deployment::start(&spec(&args, name)?).await?;
            let table = demo::run(&deployment, name, demo_args.rounds).await?;
            println!("{table}");
            deployment.shutdown().await;
        }
        None => {
            let deployment = Deployment::start(&spec(&args, args.deployment)?).await?;
            println!("{}", serde_json::to_string(deployment.ready())?);
            signals::shutdown_requested().await?;
            deployment.shutdown().await;
        }
    }
    Ok(())
}

fn spec(args: &Args, name: DeploymentName) -> eyre::Result<DeploymentSpec> {
    let mut spec = DeploymentSpec::named(name)?;
    if args.full_size {
        spec = spec.at_full_size();
    }
    spec.log_level = logging::parse_level(&args.log_level).map_err(|e| eyre::eyre!(e))?;
    Ok(spec)
}
