//! `pintally audit`: checks the five rules against a record.

use std::fs::File;
use std::io::BufReader;
use std::process::ExitCode;

use pintally_audit::{audit, read_record, Report};

use crate::Failure;

/// Number of findings that are printed for each rule.
const MAX_PRINTED_FINDINGS: usize = 10;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// A record with one line of JSON for each event.
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

/// Prints the rules with their findings as text.
pub(crate) fn print_rules(report: &Report) {
    for (name, findings) in report.rules.each() {
        println!(
            "{name:>7}: {}",
            if findings.is_empty() { "kept".into() } else { format!("{} broken", findings.len()) }
        );
        for finding in findings.iter().take(MAX_PRINTED_FINDINGS) {
            println!("         {finding}");
        }
        if findings.len() > MAX_PRINTED_FINDINGS {
            println!("         and {} more", findings.len() - MAX_PRINTED_FINDINGS);
        }
    }
}
