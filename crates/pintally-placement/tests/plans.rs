//! Plans meet their constraints, cost no more than greedy plans, and are reached by safe steps.

use pintally_placement::*;
use proptest::prelude::*;

fn group(name: &str, zone: usize, reads: f64, writes: f64, now: &[usize], spare: usize) -> Group {
    Group { name: name.into(), zone, reads, writes, now: now.to_vec(), spare }
}

fn tenant(name: &str, reads: f64, writes: f64, now: usize, pinned: bool) -> Tenant {
    Tenant { name: name.into(), reads, writes, now, pinned }
}

/// Two cells over two zones. With a demand of 20 for the tenant `big` both cells have enough capacity.
fn two_cells(demand: f64, spare: usize) -> Problem {
    Problem {
        cells: vec!["a".into(), "b".into()],
        groups: vec![
            group("readers-0", 0, 10.0, 0.0, &[2, 2], spare),
            group("readers-1", 1, 10.0, 0.0, &[2, 2], spare),
            group("writers-0", 0, 0.0, 10.0, &[2, 2], spare),
            group("writers-1", 1, 0.0, 10.0, &[2, 2], spare),
        ],
        tenants: vec![
            tenant("big", demand, demand, 0, true),
            tenant("small", 4.0, 4.0, 0, false),
            tenant("other", 20.0, 20.0, 1, false),
        ],
        margin: 0.2,
        zone_share: 0.75,
        tenant_cost: 3.0,
    }
}

#[test]
fn sufficient_plan_is_kept() {
    let problem = two_cells(20.0, 1);
    let plan = solve(&problem, 20.0).unwrap();
    assert_eq!(problem.cost(&plan), 0.0);
    assert_eq!(steps(&problem, &plan).unwrap(), []);
}

#[test]
fn overloaded_cell_gets_fewest_engines() {
    // Demand of 34 and 4 with a margin of a fifth is 45.6 for reads and for writes; the capacity is 40.
    let problem = two_cells(34.0, 1);
    assert!(!problem.shortfalls(&problem.current_plan()).is_empty());
    let plan = solve(&problem, 20.0).unwrap();
    assert_eq!(problem.shortfalls(&plan), []);
    // One reader and one writer cost 2; moving the small tenant would cost 3 and not be enough.
    assert_eq!(problem.cost(&plan), 2.0);
    let path = steps(&problem, &plan).unwrap();
    assert_eq!(path.len(), 2);
}

#[test]
fn infeasible_problem_reports_shortfalls() {
    let problem = two_cells(200.0, 0);
    let Err(SolveError::Infeasible(found)) = solve(&problem, 20.0) else {
        panic!("the problem has no plan, but the solver returned one")
    };
    assert!(found.iter().any(|b| matches!(b, Shortfall::Reads(0, _))), "{found:?}");
    assert!(found[0].describe(&problem).to_string().contains("cell a lacks"));
}

#[test]
fn swap_without_room_has_no_safe_step() {
    let mut problem = two_cells(20.0, 0);
    problem.tenants = vec![tenant("x", 33.0, 33.0, 0, false), tenant("y", 33.0, 33.0, 1, false)];
    let swap = Plan { tenants: vec![1, 0], ..problem.current_plan() };
    let no_safe_step = steps(&problem, &swap).unwrap_err();
    assert_eq!((no_safe_step.taken.len(), no_safe_step.remaining), (0, 2));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// For generated fleets, a plan meets its constraints when checked independently of the solver, costs no more
    /// than a greedy plan that meets them (apart from the solver's allowed gap), and is reached by at most 100 steps.
    #[test]
    fn generated_fleets_get_valid_plans(
        counts in prop::collection::vec((0usize..4, 0usize..4, 0usize..3), 4),
        demands in prop::collection::vec((1.0f64..12.0, 1.0f64..12.0, 0usize..2, any::<bool>()), 1..7),
    ) {
        let caps = [(10.0, 0.0), (10.0, 0.0), (0.0, 8.0), (0.0, 8.0)];
        let groups = counts.iter().zip(caps).enumerate();
        let groups = groups.map(|(i, ((a, b, s), (r, w)))| group(&format!("g{i}"), i % 2, r, w, &[*a, *b], *s));
        let tenants = demands.iter().enumerate();
        let tenants = tenants.map(|(i, (r, w, c, p))| tenant(&format!("t{i}"), *r, *w, *c, *p));
        let problem = Problem {
            cells: vec!["a".into(), "b".into()],
            groups: groups.collect(),
            tenants: tenants.collect(),
            margin: 0.1,
            zone_share: 1.0,
            tenant_cost: 3.0,
        };
        let greedy_plan = greedy(&problem);
        prop_assert!(problem.is_valid(&greedy_plan));
        match solve(&problem, 5.0) {
            Ok(plan) => {
                prop_assert_eq!(problem.shortfalls(&plan), vec![]);
                if problem.shortfalls(&greedy_plan).is_empty() {
                    prop_assert!(problem.cost(&plan) <= problem.cost(&greedy_plan) * 1.01 + 1e-6);
                }
                let path = match steps(&problem, &plan) { Ok(path) => path, Err(no_safe_step) => no_safe_step.taken };
                prop_assert!(path.len() <= 100);
            }
            Err(SolveError::Infeasible(_)) => prop_assert!(!problem.shortfalls(&greedy_plan).is_empty(), "the greedy plan meets constraints that the solver could not meet"),
            Err(SolveError::SolverFailed(reason)) => prop_assert!(false, "{}", reason),
        }
    }
}
