//! Failover of simulated zones in virtual time. The load of clients and the capacity of engines are rates, and plans
//! reach the nodes after a delay.

use pintally_failover::{
    min_cost_placement, FailoverPlan, Micros, OperatorOrder, PlanFollower, Planner, Route, Settings, Zone,
    ZoneHealth, ZoneMap, ZoneObserver, ZoneReport,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Micros = 1_000;
const STEP: Micros = 100 * MS;

fn settings() -> Settings {
    let zone = |name: &str, region: &str| Zone { name: name.into(), region: region.into() };
    let zones = vec![zone("a", "north"), zone("b", "north"), zone("c", "south")];
    Settings { requests_per_second_per_engine: 1.0, ..Settings::new(ZoneMap { zones, prices: Vec::new() }) }
}

/// A simulation of three zones with two nodes each.
struct Simulation {
    now: Micros,
    settings: Settings,
    planner: Planner,
    followers: Vec<PlanFollower>,
    observers: Vec<ZoneObserver>,
    /// By zone: requests per second that its clients send.
    loads: Vec<f64>,
    /// By zone: requests per second that its engines can serve now; requests beyond it fail.
    capacity: Vec<f64>,
    /// By zone: the fraction of attempts that fails at any load.
    failure_rate: Vec<f64>,
    nodes_alive: Vec<usize>,
    rng: ChaCha8Rng,
    /// Since the beginning of the last run: requests that arrived and that were served by zone of arrival, and requests
    /// that were routed to another zone. `peak` is the smoothed rate of attempts at each zone.
    arrived: Vec<f64>,
    served: Vec<f64>,
    remote: f64,
    peak: Vec<f64>,
    pending_plans: Vec<(Micros, FailoverPlan)>,
    transitions: u64,
}

impl Simulation {
    fn new(seed: u64, loads: [f64; 3]) -> Simulation {
        let settings = settings();
        let now = 1_000 * MS;
        Simulation {
            now,
            planner: Planner::new(settings.clone(), 1, None, now),
            followers: (0..6).map(|n| PlanFollower::new(settings.clone(), n % 3)).collect(),
            observers: (0..6).map(|_| ZoneObserver::new(3)).collect(),
            settings,
            loads: loads.to_vec(),
            capacity: vec![100.0; 3],
            failure_rate: vec![0.0; 3],
            nodes_alive: vec![2; 3],
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrived: vec![0.0; 3],
            served: vec![0.0; 3],
            remote: 0.0,
            peak: vec![0.0; 3],
            pending_plans: Vec::new(),
            transitions: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let mut sent = vec![Vec::new(); 3];
        for node in 0..6 {
            let home = node % 3;
            // Clients of a zone without nodes use the nodes of the next zone.
            let loads: f64 = (0..3)
                .filter(|z| {
                    *z == home && self.nodes_alive[*z] > 0
                        || self.nodes_alive[*z] == 0 && (*z + 1) % 3 == home
                })
                .map(|z| self.loads[z])
                .sum();
            if self.nodes_alive[home] == 0 {
                continue;
            }
            let mut count = loads / 2.0 * 0.1;
            while count > 0.0 {
                if count < 1.0 && !self.rng.random_bool(count) {
                    break;
                }
                count -= 1.0;
                self.arrived[home] += 1.0;
                self.observers[node].record_request(now);
                let session = self.rng.random();
                if let Route::Zone(zone) = self.followers[node].route(now, session, false) {
                    self.remote += f64::from(u8::from(zone != home));
                    sent[zone].push((node, home));
                }
            }
        }
        for (zone, requests) in sent.into_iter().enumerate() {
            let rate = requests.len() as f64 * 10.0;
            self.peak[zone] = self.peak[zone] * 0.9 + rate * 0.1;
            let excess = (1.0 - self.capacity[zone] / rate.max(1e-9)).max(0.0);
            for (node, home) in requests {
                let failed = self.rng.random_bool(
                    (self.failure_rate[zone] + (1.0 - self.failure_rate[zone]) * excess).min(1.0),
                );
                self.observers[node].record_attempt(now, zone, failed);
                self.served[home] += f64::from(u8::from(!failed));
            }
        }
        if now.is_multiple_of(self.settings.plan_interval) {
            for node in (0..6).filter(|n| self.nodes_alive[n % 3] > 0) {
                let report = ZoneReport::decode(&self.observers[node].report(now).encode()).unwrap();
                self.planner.receive_report(now, &format!("n{node}"), node % 3, report);
            }
            self.planner.update_zones(&self.nodes_alive, &[100.0; 3]);
            let plan = self.planner.plan(now);
            assert!(plan.encode().len() < 400);
            self.pending_plans.push((now + 200 * MS, FailoverPlan::decode(&plan.encode(), 3).unwrap()));
            self.transitions = self.planner.status().zones.iter().map(|z| z.transitions).sum();
        }
        for (_, plan) in self.pending_plans.extract_if(.., |t| t.0 <= now) {
            self.followers.iter_mut().for_each(|f| {
                f.apply(now, plan.clone());
            });
        }
    }

    /// Runs for `ms`, and returns the fraction of requests that were served, and that were routed to another zone.
    fn run(&mut self, ms: u64) -> (f64, f64) {
        (self.arrived, self.served, self.remote) = (vec![0.0; 3], vec![0.0; 3], 0.0);
        (0..ms / 100).for_each(|_| self.step());
        let arrived: f64 = self.arrived.iter().sum();
        (self.served.iter().sum::<f64>() / arrived.max(1.0), self.remote / arrived.max(1.0))
    }
}

#[test]
fn healthy_zones_serve_locally_without_transitions() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, [60.0, 55.0, 65.0]);
        simulation.run(3_000);
        let (served, remote) = simulation.run(60_000);
        assert!(served > 0.99 && remote < 0.01, "seed {seed}: served {served:.3}, remote {remote:.3}");
        assert_eq!(simulation.transitions, 0, "seed {seed}");
    }
}

#[test]
fn lost_zone_is_evacuated_and_recovers_in_steps() {
    let mut simulation = Simulation::new(3, [30.0, 30.0, 30.0]);
    simulation.run(4_000);
    // The zone's engines are lost; its nodes are alive and route their requests to other zones.
    (simulation.capacity[0], simulation.failure_rate[0]) = (0.0, 1.0);
    let failover_ms = simulation.settings.max_failover_time(200 * MS) / MS;
    simulation.run(failover_ms + 1_000);
    let (served, _) = simulation.run(8_000);
    assert!(served > 0.97, "{served:.3} served while it is lost");
    assert!(simulation.peak[1] < 95.0 && simulation.peak[2] < 95.0, "{:?}", simulation.peak);
    (simulation.capacity[0], simulation.failure_rate[0]) = (100.0, 0.0);
    let recovery_ms = simulation.settings.max_recovery_time(4) / MS;
    let mut opened = Vec::new();
    for _ in 0..recovery_ms / 500 {
        let (served, _) = simulation.run(500);
        assert!(served > 0.9, "{served}: the recovery overloads no zone");
        let open = simulation.planner.status().zones[0].open;
        if opened.last() != Some(&open) {
            opened.push(open);
        }
    }
    println!("opened in steps: {opened:?}");
    assert_eq!(opened.last(), Some(&1.0));
    assert!(opened.len() >= 4);
}

/// Guards against evacuating a zone that is only partitioned from the leader.
#[test]
fn zone_without_evidence_is_unknown_and_not_evacuated() {
    let mut simulation = Simulation::new(4, [30.0; 3]);
    simulation.run(4_000);
    let mut planner = simulation.planner.clone();
    planner.update_zones(&[0, 2, 2], &[100.0; 3]);
    for step in 1..40 {
        let now = simulation.now + step * 500 * MS;
        for node in [1, 2, 4, 5] {
            planner.receive_report(
                now,
                &format!("n{node}"),
                node % 3,
                ZoneReport { offered: 15.0, zones: vec![(0, 0, 0); 3] },
            );
        }
        let plan = planner.plan(now);
        assert_eq!(plan.open[0], 255);
    }
    assert_eq!(planner.status().zones[0].health, ZoneHealth::Unknown);
    assert!(
        planner.status().zones.iter().all(|z| z.accepted == 0.0),
        "no other zone sends requests there either"
    );
}

#[test]
fn degraded_zone_serves_up_to_its_capacity() {
    let mut simulation = Simulation::new(5, [80.0, 30.0, 30.0]);
    simulation.run(4_000);
    simulation.failure_rate[0] = 0.3;
    simulation.capacity[0] = 70.0;
    simulation.run(6_000);
    let status = simulation.planner.status().clone();
    assert_eq!(status.zones[0].health, ZoneHealth::Degraded, "{status:?}");
    assert_eq!(status.zones[0].open, 1.0, "it is not evacuated");
    let local = status.routes[0].iter().find(|g| g.0 == "a").map_or(0.0, |g| g.1);
    assert!((0.4..0.95).contains(&local), "{status:?}");
    assert!(status.routes[0].iter().any(|g| g.0 == "b"), "the nearest zone serves the rest: {status:?}");
}

/// A flapping zone is evacuated at the first failure during recovery, and its recovery is tried less and less often.
#[test]
fn hold_down_grows_for_flapping_zone() {
    let mut simulation = Simulation::new(6, [30.0; 3]);
    simulation.run(4_000);
    let mut transitions = Vec::new();
    for _ in 0..15 {
        let before = simulation.transitions;
        simulation.failure_rate[0] = 1.0;
        simulation.run(4_000);
        simulation.failure_rate[0] = 0.0;
        simulation.run(4_000);
        transitions.push(simulation.transitions - before);
    }
    println!("transitions in 8 s of flapping: {transitions:?}");
    let (first, last): (u64, u64) = (transitions[..5].iter().sum(), transitions[10..].iter().sum());
    assert!(last <= first, "{transitions:?}");
    simulation.run(200_000);
    assert_eq!(simulation.planner.status().zones[0].open, 1.0, "the zone recovers in the end");
}

/// One zone is lost while all are near their capacity: its requests must not overload the others.
#[test]
fn evacuation_without_spare_capacity_does_not_overload_others() {
    let mut simulation = Simulation::new(7, [85.0, 85.0, 85.0]);
    simulation.run(4_000);
    (simulation.capacity[0], simulation.failure_rate[0], simulation.nodes_alive[0]) = (0.0, 1.0, 0);
    simulation.run(5_000);
    (simulation.arrived, simulation.served) = (vec![0.0; 3], vec![0.0; 3]);
    simulation.peak = vec![0.0; 3];
    simulation.run(10_000);
    // The clients of the lost zone use the nodes of the next zone, which is then offered more than its capacity. Its
    // own admission rejects the excess; no plan routes it to a zone without capacity.
    assert!(simulation.peak[2] <= 103.0, "{:?}", simulation.peak);
    let (b, c) = (simulation.served[1] / simulation.arrived[1], simulation.served[2] / simulation.arrived[2]);
    assert!(c > 0.9, "the zone without additional clients is served: {c:.2}");
    assert!(b > 0.4, "{b:.2}");
}

/// For each seed the service recovers completely after the end of random faults.
#[test]
fn service_recovers_after_random_faults() {
    let seeds = std::env::var("REGION_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(150);
    let mut worst = 0;
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed, [40.0, 40.0, 40.0]);
        simulation.run(3_000);
        for _ in 0..4 {
            let zone = simulation.rng.random_range(0..3);
            match simulation.rng.random_range(0..4u32) {
                0 => (simulation.failure_rate[zone], simulation.capacity[zone]) = (1.0, 0.0),
                1 => simulation.failure_rate[zone] = 0.5,
                2 => simulation.capacity[zone] = 30.0,
                _ => {
                    (simulation.failure_rate[zone], simulation.nodes_alive[zone]) = (
                        1.0,
                        usize::from(simulation.nodes_alive.iter().filter(|n| **n > 0).count() <= 1) * 2,
                    );
                }
            }
            let duration_ms = simulation.rng.random_range(500..6_000);
            simulation.run(duration_ms);
        }
        (simulation.failure_rate, simulation.capacity, simulation.nodes_alive) =
            (vec![0.0; 3], vec![100.0; 3], vec![2; 3]);
        let faults_ended = simulation.now;
        let bound = simulation.settings.max_hold_down + 6 * simulation.settings.ramp_step + 10_000 * MS;
        loop {
            let (served, remote) = simulation.run(2_000);
            if served > 0.98 && remote < 0.02 {
                break;
            }
            assert!(simulation.now - faults_ended < bound, "seed {seed}: {:?}", simulation.planner.status());
        }
        worst = worst.max(simulation.now - faults_ended);
    }
    println!("{seeds} seeds: recovered after {} s at worst", worst / 1_000_000);
}

#[test]
fn plans_are_ordered_by_term_and_expire() {
    let settings = settings();
    let mut follower = PlanFollower::new(settings.clone(), 0);
    assert_eq!(follower.route(1, 7, false), Route::Zone(0), "without a plan the own zone serves");
    let remote_plan = |term, number| FailoverPlan {
        term,
        number,
        rows: vec![vec![(2, 255)], vec![], vec![]],
        open: vec![0, 255, 255],
    };
    assert!(follower.apply(1, remote_plan(3, 1)));
    assert_eq!(follower.route(2, 7, false), Route::Zone(2));
    assert!(matches!(follower.route(2, 7, true), Route::Reject(_)), "a region-bound session stays");
    let old_plan = FailoverPlan { rows: vec![vec![(0, 255)], vec![], vec![]], ..remote_plan(2, 900) };
    assert!(!follower.apply(3, old_plan), "an old plan that arrives late is ignored");
    assert_eq!(follower.route(settings.plan_lifetime + 2, 7, false), Route::Zone(0), "the plan has expired");
    assert!(FailoverPlan::decode(&[9; 40], 3).is_none());
    assert!(FailoverPlan::decode(&remote_plan(1, 1).encode(), 2).is_none());
}

/// Guards against a planner that numbers its plans from the start again within a term: nodes would ignore its plans.
#[test]
fn renewed_leadership_continues_plan_numbers_of_its_term() {
    let mut first = Planner::new(settings(), 4, None, 1);
    let (mut follower, mut last) = (PlanFollower::new(settings(), 0), FailoverPlan::default());
    for step in 1..20 {
        last = first.plan(step * 500 * MS);
        assert!(follower.apply(step * 500 * MS, last.clone()));
    }
    let now = 30 * 500 * MS;
    let next = Planner::new(settings(), 4, Some(&last), now).plan(now);
    assert!(follower.apply(now, next));
    let later = Planner::new(settings(), 5, Some(&last), now).plan(now);
    assert!(follower.apply(now, later), "a plan of a later term is applied");
}

#[test]
fn few_sessions_change_zone_when_fractions_change() {
    let settings = settings();
    let plan = |number, own: u8| FailoverPlan {
        term: 1,
        number,
        rows: vec![vec![(0, own), (1, 255 - own)], vec![], vec![]],
        open: vec![255; 3],
    };
    let mut follower = PlanFollower::new(settings, 0);
    follower.apply(1, plan(1, 200));
    let before: Vec<Route> = (0..1_000).map(|s| follower.route(2, s, false)).collect();
    follower.apply(3, plan(2, 180));
    let moved = (0..1_000).filter(|s| follower.route(4, *s, false) != before[*s as usize]).count();
    assert!((40..130).contains(&moved), "{moved} of 1000 sessions moved for 8% of them");
}

/// Compares the placement with the best of all divisions of small integral amounts.
#[test]
fn placement_has_minimum_cost() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    for _ in 0..300 {
        let needs: Vec<f64> = (0..3).map(|_| f64::from(rng.random_range(0..3u32))).collect();
        let spare: Vec<f64> = (0..3).map(|_| f64::from(rng.random_range(0..4u32))).collect();
        let prices: Vec<f64> = (0..9).map(|_| f64::from(rng.random_range(1..9u32))).collect();
        let placed = min_cost_placement(&needs, &spare, |a, b| prices[a * 3 + b]);
        let best = best_placement(&needs, &spare, &prices, 0, 0.0, 0.0);
        let amount: f64 = placed.flow.iter().flatten().sum();
        assert!((amount - best.0).abs() < 1e-6 && (placed.cost - best.1).abs() < 1e-6, "{placed:?} {best:?}");
    }
}

/// The greatest amount that can be placed, and its least cost, by trying all divisions.
fn best_placement(
    needs: &[f64],
    spare: &[f64],
    prices: &[f64],
    zone: usize,
    amount: f64,
    cost: f64,
) -> (f64, f64) {
    let Some(from) = (zone..3).find(|z| needs[*z] > 0.5) else { return (amount, cost) };
    let mut best: (f64, f64) = {
        let mut rest = needs.to_vec();
        rest[from] = 0.0;
        best_placement(&rest, spare, prices, from, amount, cost)
    };
    for to in (0..3).filter(|t| spare[*t] > 0.5) {
        let (mut rest, mut spare_rest) = (needs.to_vec(), spare.to_vec());
        rest[from] -= 1.0;
        spare_rest[to] -= 1.0;
        let candidate =
            best_placement(&rest, &spare_rest, prices, from, amount + 1.0, cost + prices[from * 3 + to]);
        if candidate.0 > best.0 || candidate.0 == best.0 && candidate.1 < best.1 {
            best = candidate;
        }
    }
    best
}

#[test]
fn operator_orders_and_dry_run() {
    let mut simulation = Simulation::new(8, [30.0; 3]);
    simulation.run(5_000);
    let dry = simulation.planner.dry_run(simulation.now, 1);
    assert_eq!(dry.zones[1].open, 0.0);
    assert!(dry.routes[1].iter().all(|g| g.0 != "b"), "{dry:?}");
    assert_eq!(simulation.planner.status().zones[1].open, 1.0, "a dry run changes nothing");
    simulation.planner.set_order(1, Some(OperatorOrder::Evacuate));
    let (served, _) = simulation.run(20_000);
    assert!(served > 0.97, "{served}");
    assert_eq!(simulation.planner.status().zones[1].open, 0.0);
    simulation.planner.set_order(1, None);
    simulation.run(20_000);
    assert_eq!(simulation.planner.status().zones[1].open, 1.0);
    simulation.planner.set_order(1, Some(OperatorOrder::Hold));
    simulation.failure_rate[1] = 1.0;
    simulation.run(6_000);
    assert_eq!(simulation.planner.status().zones[1].open, 1.0, "the order `Hold` prevents the evacuation");
}

#[test]
fn inconsistent_settings_are_rejected() {
    let good = settings();
    assert!(good.check().is_ok());
    assert!(Settings { plan_lifetime: good.plan_interval, ..good.clone() }.check().is_err());
    assert!(Settings { requests_per_second_per_engine: 0.0, ..good.clone() }.check().is_err());
    let mut duplicate_zone = good.clone();
    duplicate_zone.zones.zones.push(duplicate_zone.zones.zones[0].clone());
    assert!(duplicate_zone.check().is_err());
}
