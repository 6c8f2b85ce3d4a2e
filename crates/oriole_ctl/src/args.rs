//! Commands and their options.

use std::path::PathBuf;

use argh::FromArgs;

/// Switch for JSON output; every command accepts it, at any position.
const JSON_SWITCH: &str = "--json";

/// Operators' command line of oriolefield. Every command takes --json for JSON output.
/// Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 store or VM list unavailable,
/// 5 unsettled, 6 not in force in time, 7 not found.
#[derive(Clone, Debug, PartialEq, FromArgs)]
pub struct Args {
    /// settings file (default oriolectl.toml)
    #[argh(option, default = "PathBuf::from(\"oriolectl.toml\")")]
    pub settings: PathBuf,
    /// check the settings, print them with their defaults, and do nothing else
    #[argh(switch)]
    pub check: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Applies a document to the catalog.
    Apply(ApplyArgs),
    /// Prints the catalog.
    Get(GetArgs),
    /// Shows what a document would change.
    Diff(DiffArgs),
    /// Lists the changes of the catalog and their authors.
    History(HistoryArgs),
    /// Restores an earlier revision.
    Rollback(RollbackArgs),
    /// Drains or returns a failure domain.
    Domain(DomainArgs),
    /// Drains or returns a VM.
    Vm(VmArgs),
    /// Adds or removes a block.
    Block(BlockArgs),
    /// Releases a content digest from quarantine.
    Release(ReleaseArgs),
    /// Shows the state of the entries and upstreams.
    Status(StatusArgs),
    /// Explains how requests of an entry are handled.
    Explain(ExplainArgs),
    /// Generates an account key.
    AccountKey(AccountKeyArgs),
    /// Prints the decisions about one request from daemons' logs.
    Trace(TraceArgs),
}

/// Apply a document to the catalog, in one atomic change. Sections that it leaves out stay as
/// they are.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// document in TOML; its `revision` is the catalog revision it was edited from
    #[argh(positional)]
    pub file: PathBuf,
    /// message for the history
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until every entry uses the new revision
    #[argh(switch)]
    pub wait: bool,
    /// check the document, show what it would change, and do nothing else
    #[argh(switch)]
    pub check: bool,
}

/// Print the catalog as a document.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// revision to print (default: the newest)
    #[argh(option)]
    pub revision: Option<u64>,
}

/// Show what a document would change.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// document in TOML
    #[argh(positional)]
    pub file: PathBuf,
}

/// List the changes of the catalog and their authors, newest first.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// maximum number of changes to show (default 20)
    #[argh(option, default = "20")]
    pub limit: usize,
}

/// Restore an earlier revision of the catalog as a new revision.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// revision to restore
    #[argh(positional)]
    pub revision: u64,
    /// message for the history
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until every entry uses the new revision
    #[argh(switch)]
    pub wait: bool,
}

/// Drain a failure domain or return it to service.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "domain")]
pub struct DomainArgs {
    /// drain or return
    #[argh(positional)]
    pub verb: ServiceVerb,
    /// failure domain
    #[argh(positional)]
    pub name: String,
    /// message for the history
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until every entry uses the new revision
    #[argh(switch)]
    pub wait: bool,
}

/// Drain a VM or return it to service.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "vm")]
pub struct VmArgs {
    /// drain or return
    #[argh(positional)]
    pub verb: ServiceVerb,
    /// VM
    #[argh(positional)]
    pub name: String,
    /// message for the history
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until every entry uses the new revision
    #[argh(switch)]
    pub wait: bool,
}

/// Add or remove a block on an account, an entry, a key, or a combination of them.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "block")]
pub struct BlockArgs {
    /// add or remove
    #[argh(positional)]
    pub verb: BlockVerb,
    /// name of the block
    #[argh(positional)]
    pub name: String,
    /// account whose requests are refused
    #[argh(option)]
    pub account: Option<String>,
    /// entry whose requests are refused
    #[argh(option)]
    pub entry: Option<String>,
    /// digest of the idempotency key whose requests are refused
    #[argh(option)]
    pub key: Option<String>,
    /// reason shown to refused callers
    #[argh(option, default = "String::new()")]
    pub reason: String,
    /// wait until every entry uses the new revision
    #[argh(switch)]
    pub wait: bool,
}

/// Release a content digest from quarantine.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "release")]
pub struct ReleaseArgs {
    /// digest, 64 hexadecimal characters
    #[argh(positional)]
    pub digest: String,
    /// message for the history
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until every entry uses the new revision
    #[argh(switch)]
    pub wait: bool,
}

/// Show the state that the entries report, and the upstreams they use.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// with "group NAME": show only that model group and its upstreams
    #[argh(positional)]
    pub scope: Vec<String>,
}

/// Explain how requests of a catalog entry are handled: class, limits, blocks, upstreams.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// catalog entry
    #[argh(positional)]
    pub entry: String,
    /// account that sends the requests
    #[argh(option)]
    pub account: Option<String>,
}

/// Generate an account key; print it with the digest that goes into the catalog.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "account-key")]
pub struct AccountKeyArgs {}

/// Action on a failure domain or VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceVerb {
    /// Takes it out of service.
    Drain,
    /// Brings it back into service.
    Return,
}

/// Action on a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockVerb {
    /// Adds the block, or replaces one of the same name.
    Add,
    /// Removes the block.
    Remove,
}

impl std::str::FromStr for ServiceVerb {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "drain" => Ok(Self::Drain),
            "return" => Ok(Self::Return),
            _ => Err("allowed: drain, return".into()),
        }
    }
}

impl std::str::FromStr for BlockVerb {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "add" => Ok(Self::Add),
            "remove" => Ok(Self::Remove),
            _ => Err("allowed: add, remove".into()),
        }
    }
}

impl Args {
    /// Parses a command line without the program's name; the flag says whether JSON was requested.
    ///
    /// # Errors
    ///
    /// Returns the text to print; its status is `Ok` if help was requested.
    pub fn parse(args: &[&str]) -> Result<(Self, bool), argh::EarlyExit> {
        let json = args.contains(&JSON_SWITCH);
        let args: Vec<_> = args
            .iter()
            .copied()
            .filter(|arg| *arg != JSON_SWITCH)
            .collect();
        let args = Self::from_args(&["oriolectl"], &args)?;
        Ok((args, json))
    }
}

/// Print the decisions about one request from daemons' logs, in chronological order.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceArgs {
    /// attempt id of the request
    #[argh(positional)]
    pub request: String,
    /// log file; may be repeated (default: standard input)
    #[argh(option, long = "log")]
    pub logs: Vec<PathBuf>,
    /// also print state changes of the daemons involved, from this many seconds before
    #[argh(option, default = "0")]
    pub before_s: u64,
}
