//! `pintally check`: loads a file and says what is wrong and why.

use std::process::ExitCode;

use pintally_config::form::Document;
use pintally_config::{EngineList, NodeSettings};
use pintally_day::Day;

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// A file of settings `(pintally ...)`, a list `(engines ...)` or a day `(day ...)`.
    file: String,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let (file, text) = (&args.file, read(&args.file)?);
    let document = Document::parse(file, &text).map_err(Failure::usage)?;
    let forms = document.forms().map_err(Failure::usage)?;
    let name = forms.first().map_or("", |f| f.name());
    let what = match name {
        "pintally" => NodeSettings::parse(file, &text)
            .map(|s| format!("settings of node `{}` with {} classes", s.name, s.core.classes.len())),
        "engines" => EngineList::parse(file, &text)
            .map(|l| format!("list of {} engines, version {}", l.engines.len(), l.version)),
        "day" => Day::parse(file, &text).map(|d| {
            format!("day `{}` of {} s with {} troubles", d.name, d.length.as_secs_f64(), d.faults.len())
        }),
        _ => {
            return Err(Failure::usage(format!(
                "{file}: no `(pintally ...)`, `(engines ...)` or `(day ...)`"
            )))
        }
    };
    println!("{file}: {}", what.map_err(Failure::usage)?);
    Ok(ExitCode::SUCCESS)
}
