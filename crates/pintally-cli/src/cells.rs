//! `pintally cells`: who belongs where, moves step by step, where each cell stands.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Subcommand, ValueEnum};
use comfy_table::Table;
use pintally_cells::{CellName, CellsFile, MoveCommand};
use pintally_config::NodeSettings;

use crate::status::fetch;
use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct Files {
    /// A node's settings: they name tenants and classes.
    #[arg(long)]
    config: String,
    /// The file of cells; the one that the settings name if not given.
    #[arg(long)]
    cells: Option<String>,
}

#[derive(Subcommand)]
enum Command {
    /// Print cells, homes and moves.
    Show {
        #[command(flatten)]
        files: Files,
    },
    /// Take the next step of a tenant's move, as a new version of the file.
    Move {
        #[command(flatten)]
        files: Files,
        /// The tenant.
        tenant: String,
        /// The step.
        #[arg(value_enum)]
        turn: Step,
        /// With `begin`: the cells to which it moves.
        #[arg(long, value_delimiter = ',')]
        to: Vec<String>,
        /// With `begin`: milliseconds until all its sessions are over.
        #[arg(long, default_value_t = 30_000)]
        over_ms: u64,
        /// Replace the file; without it the new version is only printed.
        #[arg(long)]
        write: bool,
    },
    /// Plan engines to cells and tenants to cells, and print the safe steps to get there.
    Plan {
        #[command(flatten)]
        files: Files,
        #[command(flatten)]
        plan: crate::plan::Args,
    },
    /// Ask nodes where their cells stand.
    Status {
        /// Where nodes listen.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Step {
    /// Announce it.
    Begin,
    /// Let sessions go over.
    Go,
    /// All sessions are over.
    Done,
    /// Let them return.
    Back,
    /// Make it a thing of the past.
    Settle,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    match &args.command {
        Command::Show { files } => show(files),
        Command::Move { files, tenant, turn, to, over_ms, write } => {
            let turn = match turn {
                Step::Begin => {
                    let to = to.iter().map(|c| CellName::from(c.as_str())).collect();
                    MoveCommand::Begin { to, over_ms: *over_ms }
                }
                Step::Go => MoveCommand::Go,
                Step::Done => MoveCommand::Done,
                Step::Back => MoveCommand::Back,
                Step::Settle => MoveCommand::Settle,
            };
            step(files, tenant, turn, *write)
        }
        Command::Plan { files, plan } => {
            let (settings, cells, _) = load(files)?;
            crate::plan::run(plan, &settings, &cells)
        }
        Command::Status { nodes } => status(nodes),
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The settings, the file of cells and its path.
fn load(files: &Files) -> Result<(NodeSettings, CellsFile, String), Failure> {
    let settings = NodeSettings::parse(&files.config, &read(&files.config)?).map_err(Failure::usage)?;
    let Some(path) = files.cells.clone().or(settings.cells_file.clone()) else {
        return Err(Failure::usage(format!(
            "{}: names no file of cells; give one with --cells",
            files.config
        )));
    };
    let cells = CellsFile::parse(&path, &read(&path)?, &settings.core).map_err(Failure::usage)?;
    Ok((settings, cells, path))
}

fn show(files: &Files) -> Result<ExitCode, Failure> {
    let (settings, file, _) = load(files)?;
    let names = |cells: &[CellName]| {
        cells.iter().map(std::string::ToString::to_string).collect::<Vec<_>>().join(", ")
    };
    println!("version {}", file.version);
    let mut table = Table::new();
    table.set_header(["cell", "weight", "readers", "writers", "fallback", "tenants"]);
    for cell in &file.cells {
        let lives = |t: &&pintally::interface::Tenant| file.home(&t.name).contains(&cell.name);
        let tenants: Vec<&str> =
            settings.core.tenants.iter().filter(lives).map(|t| t.name.as_str()).collect();
        table.add_row([
            cell.name.to_string(),
            cell.weight.to_string(),
            cell.required_engines.readers.to_string(),
            cell.required_engines.writers.to_string(),
            cell.fallback.as_ref().map(std::string::ToString::to_string).unwrap_or_default(),
            tenants.join(", "),
        ]);
    }
    println!("{table}");
    for m in &file.moves {
        let share = m.moved_share(unix_ms()) * 100.0;
        let (from, to) = (names(&file.home(&m.tenant)), names(&m.to));
        println!(
            "{} moves from {from} to {to}: {:?}, {share:.0}% of its sessions are over",
            m.tenant, m.phase
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn step(files: &Files, tenant: &str, turn: MoveCommand, write: bool) -> Result<ExitCode, Failure> {
    let (settings, file, path) = load(files)?;
    if !settings.core.tenants.iter().any(|t| t.name == tenant) {
        return Err(Failure::usage(format!("no tenant is named `{tenant}` in the settings")));
    }
    let next = file.apply_move_command(tenant, turn, unix_ms()).map_err(Failure::failed)?.render();
    // What is written must be what a node takes.
    CellsFile::parse(&path, &next, &settings.core).map_err(Failure::failed)?;
    if !write {
        print!("{next}");
        return Ok(ExitCode::SUCCESS);
    }
    let mut fresh = Path::new(&path).as_os_str().to_owned();
    fresh.push(".new");
    let written = std::fs::write(&fresh, &next).and_then(|()| std::fs::rename(&fresh, &path));
    written.map_err(|e| Failure::failed(format!("{path}: {e}")))?;
    println!("{path}: version {}", file.version + 1);
    Ok(ExitCode::SUCCESS)
}

fn status(nodes: &[SocketAddr]) -> Result<ExitCode, Failure> {
    let mut table = Table::new();
    table.set_header(["node", "cell", "level", "share of engines", "borrowed", ""]);
    let mut silent = 0;
    for node in nodes {
        let Some(counters) = fetch(*node, "/pintally/counters") else {
            silent += 1;
            table.add_row([node.to_string(), "no answer".to_string()]);
            continue;
        };
        for cell in counters["cells"].as_array().into_iter().flatten() {
            let text = |key: &str| cell[key].as_str().unwrap_or("").to_string();
            table.add_row([
                node.to_string(),
                text("cell"),
                text("level"),
                format!("{:.2}", cell["share"].as_f64().unwrap_or(0.0)),
                cell["borrowed"].to_string(),
                ["strained", "failing"]
                    .into_iter()
                    .filter(|w| cell[*w] == true)
                    .collect::<Vec<_>>()
                    .join(", "),
            ]);
        }
        for one in counters["moves"].as_array().into_iter().flatten() {
            let tenant = one["tenant"].as_str().unwrap_or("");
            let over = one["share"].as_f64().unwrap_or(0.0) * 100.0;
            let held = if one["held"] == true { ", held back" } else { "" };
            table.add_row([node.to_string(), format!("tenant {tenant}: {over:.0}% over{held}")]);
        }
    }
    println!("{table}");
    Ok(if silent == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
