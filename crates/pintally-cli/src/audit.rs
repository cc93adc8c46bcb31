//! `pintally audit`: the five rules over a record.

use std::fs::File;
use std::io::BufReader;
use std::process::ExitCode;

use pintally_audit::{audit, read_record, Report};

use crate::Failure;

/// Findings that are printed for each rule.
const PRINTED: usize = 10;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// A record, one line of JSON for each thing that happened.
    record: String,
    /// Print the findings as JSON.
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let file = File::open(&args.record).map_err(|e| Failure::usage(format!("{}: {e}", args.record)))?;
    let record =
        read_record(BufReader::new(file)).map_err(|e| Failure::usage(format!("{}: {e}", args.record)))?;
    let report = audit(&record).map_err(|e| Failure::usage(format!("{}: {e}", args.record)))?;
    if args.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print_rules(&report);
    }
    Ok(if report.rules.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The rules with their findings, for people.
pub(crate) fn print_rules(report: &Report) {
    for (name, found) in report.rules.each() {
        println!(
            "{name:>7}: {}",
            if found.is_empty() { "kept".into() } else { format!("{} broken", found.len()) }
        );
        for finding in found.iter().take(PRINTED) {
            println!("         {finding}");
        }
        if found.len() > PRINTED {
            println!("         and {} more", found.len() - PRINTED);
        }
    }
}
