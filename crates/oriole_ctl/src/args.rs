//! Commands and their options.

use std::path::PathBuf;

use argh::FromArgs;

/// Switch that every command takes at any place.
const JSON_SWITCH: &str = "--json";

/// Operators' command line of oriolefield. Every command takes --json for JSON output.
/// Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 store or VM list unavailable,
/// 5 unsettled, 6 not in force in time, 7 not found.
#[derive(Clone, Debug, PartialEq, FromArgs)]
pub struct Args {
    /// settings file (default oriolectl.toml)
    #[argh(option, default = "PathBuf::from(\"oriolectl.toml\")")]
    pub settings: PathBuf,
    /// check the settings, print what is in force, and do nothing else
    #[argh(switch)]
    pub check: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Makes the catalog what a document says.
    Apply(ApplyArgs),
    /// Prints the catalog.
    Get(GetArgs),
    /// Shows what a document would change.
    Diff(DiffArgs),
    /// Shows who changed what.
    History(HistoryArgs),
    /// Goes back to an earlier revision.
    Rollback(RollbackArgs),
    /// Drains or returns a failure domain.
    Domain(DomainArgs),
    /// Drains or returns a VM.
    Vm(VmArgs),
    /// Adds or removes a block.
    Block(BlockArgs),
    /// Releases a content digest from quarantine.
    Release(ReleaseArgs),
    /// Shows what the entries say.
    Status(StatusArgs),
    /// Explains what happens to requests of an entry.
    Explain(ExplainArgs),
    /// Makes a fresh account key.
    AccountKey(AccountKeyArgs),
    /// Prints the decisions about one request from daemons' logs.
    Trace(TraceArgs),
}

/// Make the catalog what a document says; all of it or nothing.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// document in TOML; its `revision` is the one it was taken from
    #[argh(positional)]
    pub file: PathBuf,
    /// why
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until it is in force everywhere
    #[argh(switch)]
    pub wait: bool,
    /// check the document and show what it would change, and do nothing else
    #[argh(switch)]
    pub check: bool,
}

/// Print the catalog as a document.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// revision (default the newest)
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

/// Show who changed what, newest first.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// most changes to show (default 20)
    #[argh(option, default = "20")]
    pub limit: usize,
}

/// Make the catalog what it was, as a new revision.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// revision to go back to
    #[argh(positional)]
    pub revision: u64,
    /// why
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until it is in force everywhere
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
    /// why
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until it is in force everywhere
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
    /// why
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until it is in force everywhere
    #[argh(switch)]
    pub wait: bool,
}

/// Add or remove a block on an account, an entry or a key, or all that are named together.
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
    /// digest of the idempotency key that is refused
    #[argh(option)]
    pub key: Option<String>,
    /// why, as refused callers read it
    #[argh(option, default = "String::new()")]
    pub reason: String,
    /// wait until it is in force everywhere
    #[argh(switch)]
    pub wait: bool,
}

/// Release a content digest from quarantine.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "release")]
pub struct ReleaseArgs {
    /// digest of 64 hexadecimal characters
    #[argh(positional)]
    pub digest: String,
    /// why
    #[argh(option, short = 'm', default = "String::new()")]
    pub message: String,
    /// wait until it is in force everywhere
    #[argh(switch)]
    pub wait: bool,
}

/// Show what the entries say about themselves and the upstreams they use.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// with "group NAME": the ranks of that model group alone
    #[argh(positional)]
    pub scope: Vec<String>,
}

/// Explain what happens to requests of a catalog entry: class, limits, blocks, upstreams.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// catalog entry
    #[argh(positional)]
    pub entry: String,
    /// account that requests it
    #[argh(option)]
    pub account: Option<String>,
}

/// Make a fresh account key; print it with the digest that goes into the catalog.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "account-key")]
pub struct AccountKeyArgs {}

/// What to do with a failure domain or VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceVerb {
    /// Take out of service.
    Drain,
    /// Bring back.
    Return,
}

/// What to do with a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockVerb {
    /// Add or replace.
    Add,
    /// Remove.
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
    /// Reads the words of a command line without the program's name; tells whether JSON is wanted.
    ///
    /// # Errors
    ///
    /// Fails with the text to print, and whether that is help that was asked for.
    pub fn parse(words: &[&str]) -> Result<(Self, bool), argh::EarlyExit> {
        let json = words.contains(&JSON_SWITCH);
        let words: Vec<_> = words
            .iter()
            .copied()
            .filter(|w| *w != JSON_SWITCH)
            .collect();
        let args = Self::from_args(&["oriolectl"], &words)?;
        Ok((args, json))
    }
}

/// Print the decisions about one request, in the order of their times, from daemons' log lines.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceArgs {
    /// attempt id of the request
    #[argh(positional)]
    pub request: String,
    /// files of log lines (default standard input)
    #[argh(option, long = "log")]
    pub logs: Vec<PathBuf>,
    /// also print what daemons came to believe in the seconds before
    #[argh(option, default = "0")]
    pub before_s: u64,
}
