//! `oriole-bench`: runs experiments and prints their figures.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use oriole_bench::experiment::RunOptions;
use oriole_bench::report::Report;
use oriole_bench::{capacity, experiments, plot};

/// Exit code of a run whose figures miss a bound.
const EXIT_BOUND_MISSED: u8 = 3;

/// Load and experiment tool of oriolefield.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(ListArgs),
    Run(RunArgs),
    Capacity(CapacityArgs),
}

/// Print the capacity table from the output of a `control` run.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {
    /// file with the output of `run control --json`
    #[argh(option)]
    from: PathBuf,
}

/// List the experiments.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// Run one experiment; exits with 3 if a figure misses its bound.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArgs {
    /// name of the experiment
    #[argh(positional)]
    name: String,
    /// seed of everything random (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// length of the measured part in seconds
    #[argh(option)]
    duration: Option<f64>,
    /// print only the closing JSON line
    #[argh(switch)]
    json: bool,
    /// draw the series into this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    match args.command {
        Command::List(_) => {
            list();
            Ok(ExitCode::SUCCESS)
        }
        Command::Run(args) => run(&args).await,
        Command::Capacity(args) => {
            println!("{}", capacity::table(&args.from)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn list() {
    for e in experiments::all() {
        println!("{:16} {}", e.name(), e.about());
    }
}

async fn run(args: &RunArgs) -> eyre::Result<ExitCode> {
    let experiment = experiments::find(&args.name)
        .ok_or_else(|| eyre::eyre!("no experiment {:?}; see `oriole-bench list`", args.name))?;
    let options = RunOptions {
        seed: args.seed,
        duration: args.duration.map(Duration::try_from_secs_f64).transpose()?,
    };
    let report = experiment.run(&options).await?;
    if !args.json {
        print_table(&report);
    }
    if let Some(path) = &args.plot {
        plot::draw(path, experiment.name(), &report.series)?;
    }
    println!("{}", report.json_line(experiment.name(), args.seed)?);
    Ok(if report.passes() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_BOUND_MISSED)
    })
}

fn print_table(report: &Report) {
    for (name, value) in &report.figures {
        match report.bounds.get(name) {
            Some(limit) => println!("{name:32} {value:14.4}  {limit:?}"),
            None => println!("{name:32} {value:14.4}"),
        }
    }
}
