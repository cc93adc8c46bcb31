//! `pintally cells`: the tenants of each cell, migrations step by step, the state of each cell.

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
    /// A node's settings, which define tenants and classes.
    #[arg(long)]
    config: String,
    /// The file of cells; by default the one that the settings name.
    #[arg(long)]
    cells: Option<String>,
}

#[derive(Subcommand)]
enum Command {
    /// Print cells, the tenants of each and migrations.
    Show {
        #[command(flatten)]
        files: Files,
    },
    /// Apply the next step of a tenant's migration as a new version of the file.
    Move {
        #[command(flatten)]
        files: Files,
        /// The tenant.
        tenant: String,
        /// The step.
        #[arg(value_enum, value_name = "TURN")]
        step: MigrationStep,
        /// With `begin`: the cells to which the tenant moves.
        #[arg(long, value_delimiter = ',')]
        to: Vec<String>,
        /// With `begin`: milliseconds until all its sessions have moved.
        #[arg(long, default_value_t = 30_000)]
        over_ms: u64,
        /// Replace the file; without this flag the new version is only printed.
        #[arg(long)]
        write: bool,
    },
    /// Compute a placement of engines and tenants in cells, and print safe steps towards it.
    Plan {
        #[command(flatten)]
        files: Files,
        #[command(flatten)]
        plan: crate::plan::Args,
    },
    /// Query nodes for the state of their cells.
    Status {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum MigrationStep {
    /// Announce the migration.
    Begin,
    /// Start to move sessions.
    Go,
    /// Mark all sessions as moved.
    Done,
    /// Move sessions back.
    Back,
    /// Close the migration; after `done` the target cells become the home of the tenant.
    Settle,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    match &args.command {
        Command::Show { files } => show(files),
        Command::Move { files, tenant, step, to, over_ms, write } => {
            let step = match step {
                MigrationStep::Begin => {
                    let to = to.iter().map(|c| CellName::from(c.as_str())).collect();
                    MoveCommand::Begin { to, over_ms: *over_ms }
                }
                MigrationStep::Go => MoveCommand::Go,
                MigrationStep::Done => MoveCommand::Done,
                MigrationStep::Back => MoveCommand::Back,
                MigrationStep::Settle => MoveCommand::Settle,
            };
            apply_step(files, tenant, step, *write)
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

/// Reads the settings and the cells file. Returns them with the path of the cells file.
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

/// Prints a table of the cells, and each migration with its progress.
fn show(files: &Files) -> Result<ExitCode, Failure> {
    let (settings, file, _) = load(files)?;
    let names = |cells: &[CellName]| {
        cells.iter().map(std::string::ToString::to_string).collect::<Vec<_>>().join(", ")
    };
    println!("version {}", file.version);
    let mut table = Table::new();
    table.set_header(["cell", "weight", "readers", "writers", "fallback", "tenants"]);
    for cell in &file.cells {
        let is_home = |t: &&pintally::interface::Tenant| file.home(&t.name).contains(&cell.name);
        let tenants: Vec<&str> =
            settings.core.tenants.iter().filter(is_home).map(|t| t.name.as_str()).collect();
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
    for migration in &file.moves {
        let share = migration.moved_share(unix_ms()) * 100.0;
        let (from, to) = (names(&file.home(&migration.tenant)), names(&migration.to));
        println!(
            "{} moves from {from} to {to}: {:?}, {share:.0}% of its sessions have moved",
            migration.tenant, migration.phase
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Computes the next version of the cells file by a step of a tenant's migration. Replaces the file if `write` is
/// set, and prints the new version otherwise.
fn apply_step(files: &Files, tenant: &str, step: MoveCommand, write: bool) -> Result<ExitCode, Failure> {
    let (settings, file, path) = load(files)?;
    if !settings.core.tenants.iter().any(|t| t.name == tenant) {
        return Err(Failure::usage(format!("no tenant is named `{tenant}` in the settings")));
    }
    let next = file.apply_move_command(tenant, step, unix_ms()).map_err(Failure::failed)?.render();
    // The written file must be one that nodes accept.
    CellsFile::parse(&path, &next, &settings.core).map_err(Failure::failed)?;
    if !write {
        print!("{next}");
        return Ok(ExitCode::SUCCESS);
    }
    let mut new_path = Path::new(&path).as_os_str().to_owned();
    new_path.push(".new");
    let written = std::fs::write(&new_path, &next).and_then(|()| std::fs::rename(&new_path, &path));
    written.map_err(|e| Failure::failed(format!("{path}: {e}")))?;
    println!("{path}: version {}", file.version + 1);
    Ok(ExitCode::SUCCESS)
}

/// Prints the state of the cells at each node. The exit code is a failure if a node did not respond.
fn status(nodes: &[SocketAddr]) -> Result<ExitCode, Failure> {
    let mut table = Table::new();
    table.set_header(["node", "cell", "level", "share of engines", "borrowed", ""]);
    let mut unreachable = 0;
    for node in nodes {
        let Some(counters) = fetch(*node, "/pintally/counters") else {
            unreachable += 1;
            table.add_row([node.to_string(), "no response".to_string()]);
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
                    .filter(|flag| cell[*flag] == true)
                    .collect::<Vec<_>>()
                    .join(", "),
            ]);
        }
        for migration in counters["moves"].as_array().into_iter().flatten() {
            let tenant = migration["tenant"].as_str().unwrap_or("");
            let moved_percent = migration["share"].as_f64().unwrap_or(0.0) * 100.0;
            let held = if migration["held"] == true { ", held back" } else { "" };
            table.add_row([node.to_string(), format!("tenant {tenant}: {moved_percent:.0}% moved{held}")]);
        }
    }
    println!("{table}");
    Ok(if unreachable == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
