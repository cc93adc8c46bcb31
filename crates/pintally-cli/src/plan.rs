//! `pintally cells plan`: computes a placement of engines and tenants in cells and safe steps towards it.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

use comfy_table::Table;
use pintally::interface::EndpointState;
use pintally_cells::{CellsFile, HomeCells};
use pintally_config::form::Document;
use pintally_config::{ConfigError, EngineList, NodeSettings};
use pintally_placement::{greedy, solve, steps, Group, Plan, Problem, SolveError, Step, Tenant};

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The list of engines; by default the one that the settings name.
    #[arg(long)]
    engines: Option<String>,
    /// The demand of tenants and the capacity of engines: `(demand ...)`.
    #[arg(long)]
    demand: String,
    /// Time limit of the solver in seconds.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
}

/// Contents of a `(demand ...)` file.
struct Demand {
    margin: f64,
    zone_share: f64,
    tenant_cost: f64,
    /// Read and write capacity of an engine of each kind.
    kinds: BTreeMap<String, (f64, f64)>,
    /// Read and write demand of each tenant.
    tenants: BTreeMap<String, (f64, f64)>,
}

impl Demand {
    fn parse(file: &str, text: &str, settings: &NodeSettings) -> Result<Demand, ConfigError> {
        let document = Document::parse(file, text)?;
        let root = document.only_form("demand")?;
        let reads_and_writes = |form: &pintally_config::form::Form| -> Result<(f64, f64), ConfigError> {
            Ok((form.number_or("reads", 0.0, 0.0, 1e12)?, form.number_or("writes", 0.0, 0.0, 1e12)?))
        };
        let (mut kinds, mut tenants) = (BTreeMap::new(), BTreeMap::new());
        for form in root.forms_named("capacity")? {
            let kind = form.text()?;
            if !settings.core.engine_kinds.iter().any(|k| k.name == kind) {
                return Err(form.error(format!("no kind is named `{kind}` in the settings")));
            }
            kinds.insert(kind, reads_and_writes(&form)?);
            form.finish()?;
        }
        for form in root.forms_named("tenant")? {
            let tenant = form.text()?;
            if !settings.core.tenants.iter().any(|t| t.name == tenant) {
                return Err(form.error(format!("no tenant is named `{tenant}` in the settings")));
            }
            tenants.insert(tenant, reads_and_writes(&form)?);
            form.finish()?;
        }
        for kind in &settings.core.engine_kinds {
            if !kinds.contains_key(&kind.name) {
                return Err(root.error(format!("`demand` lacks `(capacity \"{}\" ...)`", kind.name)));
            }
        }
        let demand = Demand {
            margin: root.number_or("margin", 0.2, 0.0, 10.0)?,
            zone_share: root.number_or("zone-share", 1.0, 0.01, 1.0)?,
            tenant_cost: root.number_or("tenant-cost", 3.0, 0.0, 1e6)?,
            kinds,
            tenants,
        };
        root.finish()?;
        Ok(demand)
    }
}

/// Builds the placement problem from the files, with notes for the operator.
fn build_problem(file: &CellsFile, list: &EngineList, demand: &Demand) -> (Problem, Vec<String>) {
    let cells: Vec<String> = file.cells.iter().map(|c| c.name.to_string()).collect();
    let index = |name: &str| cells.iter().position(|c| c == name);
    let mut notes = Vec::new();
    let mut zones: Vec<&str> = list.engines.iter().map(|e| e.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut groups: BTreeMap<String, Group> = BTreeMap::new();
    for engine in list.engines.iter().filter(|e| e.state == EndpointState::Serving) {
        let Some((reads, writes)) = demand.kinds.get(&engine.kind) else {
            notes.push(format!(
                "engine {} has the unknown kind `{}` and is left out",
                engine.id.0, engine.kind
            ));
            continue;
        };
        let name = format!("{} in zone {} rack {}", engine.kind, engine.zone, engine.rack);
        let zone = zones.iter().position(|z| *z == engine.zone).unwrap_or(0);
        let group = groups.entry(name.clone()).or_insert_with(|| Group {
            name,
            zone,
            reads: *reads,
            writes: *writes,
            now: vec![0; cells.len()],
            spare: 0,
        });
        match engine.cell.as_deref().and_then(index) {
            Some(cell) => group.now[cell] += 1,
            None => group.spare += 1,
        }
    }
    let mut tenants = Vec::new();
    for (name, (reads, writes)) in &demand.tenants {
        let home: Vec<usize> = file.home(name).iter().filter_map(|c| index(&c.0)).collect();
        let home_setting = file.tenants.iter().find(|t| t.tenant == *name).map(|t| &t.home);
        let pinned = matches!(home_setting, Some(HomeCells::Pinned(_))) || home.len() > 1;
        if home.len() > 1 {
            notes.push(format!(
                "tenant {name} spans {} cells: an equal part of its demand stays in each",
                home.len()
            ));
        }
        let parts = home.len().max(1) as f64;
        for now in home {
            tenants.push(Tenant {
                name: name.clone(),
                reads: reads / parts,
                writes: writes / parts,
                now,
                pinned,
            });
        }
    }
    let problem = Problem {
        cells,
        groups: groups.into_values().collect(),
        tenants,
        margin: demand.margin,
        zone_share: demand.zone_share,
        tenant_cost: demand.tenant_cost,
    };
    (problem, notes)
}

pub(crate) fn run(args: &Args, settings: &NodeSettings, file: &CellsFile) -> Result<ExitCode, Failure> {
    let path = args.engines.clone().unwrap_or_else(|| settings.engines_file.clone());
    let list = EngineList::parse(&path, &read(&path)?).map_err(Failure::usage)?;
    let demand = Demand::parse(&args.demand, &read(&args.demand)?, settings).map_err(Failure::usage)?;
    let (problem, notes) = build_problem(file, &list, &demand);
    notes.iter().for_each(|note| eprintln!("pintally: {note}"));
    let start = Instant::now();
    let plan = match solve(&problem, args.seconds) {
        Ok(plan) => plan,
        Err(SolveError::Infeasible(binding)) => {
            println!("there is no plan; binding constraints:");
            binding.iter().for_each(|b| println!("  {}", b.describe(&problem)));
            return Ok(ExitCode::FAILURE);
        }
        Err(error) => return Err(Failure::failed(error)),
    };
    let solve_time = start.elapsed();
    print(&problem, &plan);
    let greedy_plan = greedy(&problem);
    let comparison = match problem.shortfalls(&greedy_plan).len() {
        0 => format!("a greedy plan costs {}", problem.cost(&greedy_plan)),
        n => format!("a greedy plan leaves {n} constraints unmet"),
    };
    println!("cost {} in {:.2} s; {comparison}", problem.cost(&plan), solve_time.as_secs_f64());
    match steps(&problem, &plan) {
        Ok(safe_steps) => {
            safe_steps
                .iter()
                .enumerate()
                .for_each(|(n, step)| println!("{:>3}. {}", n + 1, describe(&problem, step)));
            Ok(ExitCode::SUCCESS)
        }
        Err(stuck) => {
            stuck
                .taken
                .iter()
                .enumerate()
                .for_each(|(n, s)| println!("{:>3}. {}", n + 1, describe(&problem, s)));
            println!("{stuck}");
            Ok(ExitCode::FAILURE)
        }
    }
}

fn describe(problem: &Problem, step: &Step) -> String {
    let cell = |c: usize| format!("cell {}", problem.cells[c]);
    let place = |c: Option<usize>| c.map_or("the spare engines".to_string(), cell);
    match step {
        Step::Engine { group, from, to } => {
            format!("one {} from {} to {}", problem.groups[*group].name, place(*from), place(*to))
        }
        Step::Tenant { tenant, from, to } => {
            format!("tenant {} from {} to {}", problem.tenants[*tenant].name, cell(*from), cell(*to))
        }
    }
}

fn print(problem: &Problem, plan: &Plan) {
    let mut table = Table::new();
    table.set_header(["cell", "reading: has / needs", "writing: has / needs", "engines", "tenants"]);
    for (cell, name) in problem.cells.iter().enumerate() {
        let ((reads, writes), (r, w)) = (problem.capacity(plan, cell), problem.demand(plan, cell));
        let engines: usize = plan.engines.iter().map(|n| n[cell]).sum();
        let tenants = plan.tenants.iter().filter(|c| **c == cell).count();
        table.add_row([
            name.clone(),
            format!("{reads:.0} / {r:.0}"),
            format!("{writes:.0} / {w:.0}"),
            engines.to_string(),
            tenants.to_string(),
        ]);
    }
    println!("{table}");
}
