//! `oriolectl`: the operators' command line.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use oriole_ctl::prelude::*;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    let (text, exit) = oriole_ctl::ctl::run_command_line(&args).await;
    match exit {
        ExitStatus::Done => println!("{text}"),
        _ if args.contains(&"--json") => println!("{text}"),
        _ => eprintln!("{text}"),
    }
    ExitCode::from(exit as u8)
}
