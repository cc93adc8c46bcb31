//! Prints measurements as tables.

use comfy_table::Table;
use pintally_benchmarks::{Added, Moves, Price, Spread};

/// Prints the cost of migrations as a table.
pub(crate) fn print_moves(result: &Moves) {
    let mut table = Table::new();
    table.set_header(["who", "when", "", "requests", "p50, ms", "p99, ms", "late or not served"]);
    for p in &result.parts {
        let (p50, p99) = (p.p50_ms.to_string(), p.p99_ms.to_string());
        let (requests, late) = (p.requests.to_string(), p.late.to_string());
        table.add_row([p.who.into(), p.when.into(), p.how.to_string(), requests, p50, p99, late]);
    }
    println!("{table}");
    println!("{} moves; runs in which a rule was broken: {}", result.moves, result.broken);
    println!("first tokens; a request that was not served counts as endless; over groups of seeds");
}

/// Prints the cost of cells as a table.
pub(crate) fn print_prices(prices: &[Price]) {
    let mut table = Table::new();
    table.set_header(["", "served in time", "change against one pool, 95% interval", "rules"]);
    for p in prices {
        let rules = if p.kept { "kept" } else { "broken" }.to_string();
        table.add_row([p.name.clone(), p.in_time.to_string(), p.change.to_string(), rules]);
    }
    println!("{table}");
    println!("share of the worth asked that was served in time; each against the pool of the same engines");
}

/// Prints added latency as a table with two rows for each step.
pub(super) fn print_added(steps: &[Added]) {
    let mut table = Table::new();
    table.set_header([
        "requests/s",
        "",
        "direct, us",
        "node, us",
        "added, us",
        "ratio",
        "failed",
        "own lateness, us",
    ]);
    for a in steps {
        let row = |name: &str, values: [String; 4]| -> Vec<String> {
            let [direct, node, added, ratio] = values;
            vec![
                a.per_second.to_string(),
                name.to_string(),
                direct,
                node,
                added,
                ratio,
                a.failed.to_string(),
                a.own_lateness_us.to_string(),
            ]
        };
        let texts = |values: [Spread; 4]| values.map(|v| v.to_string());
        table.add_row(row("p50", texts([a.direct_p50_us, a.node_p50_us, a.added_p50_us, a.ratio_p50])));
        table.add_row(row("p99", texts([a.direct_p99_us, a.node_p99_us, a.added_p99_us, a.ratio_p99])));
    }
    println!("{table}");
}
