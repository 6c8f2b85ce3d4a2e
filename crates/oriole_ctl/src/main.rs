//! `oriolectl`: the operators' command line.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use oriole_ctl::prelude::*;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let words: Vec<_> = std::env::args().skip(1).collect();
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    let (text, exit) = oriole_ctl::ctl::run_command_line(&words).await;
    match exit {
        ExitStatus::Done => println!("{text}"),
        _ if words.contains(&"--json") => println!("{text}"),
        _ => eprintln!("{text}"),
    }
    ExitCode::from(exit as u8)
}
