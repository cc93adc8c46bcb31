use super::*;

const CLASSES: [ClassPriority; 3] = [
    ClassPriority { priority_weight: 2.0, at_most_once: false },
    ClassPriority { priority_weight: 1.0, at_most_once: false },
    ClassPriority { priority_weight: 3.0, at_most_once: true },
];

fn count_admitted(
    gate: &mut AdmissionGate,
    from: Micros,
    seconds: u64,
    class: usize,
    per_second: u64,
) -> u64 {
    let mut admitted = 0;
    for n in 0..seconds * per_second {
        let now = from + n * 1_000_000 / per_second;
        admitted += u64::from(gate.admit(now, Some(class)) == Admission::Admit);
    }
    admitted
}

#[test]
fn rate_and_burst_are_not_exceeded() {
    let mut gate = AdmissionGate::new(&CLASSES, 2_000_000);
    gate.set_plan(0, AdmissionPlan { max_rate: Some(20.0), admits_at_most_once: true });
    let admitted = count_admitted(&mut gate, 0, 10, 0, 500);
    assert!((200..=206).contains(&admitted), "{admitted}");
}

#[test]
fn higher_priority_is_admitted_first() {
    let mut gate = AdmissionGate::new(&CLASSES, 2_000_000);
    gate.set_plan(0, AdmissionPlan { max_rate: Some(40.0), admits_at_most_once: true });
    let (mut low, mut high) = (0, 0);
    for n in 0..10_000u64 {
        let now = n * 1000;
        high += u64::from(n % 20 == 0 && gate.admit(now, Some(2)) == Admission::Admit);
        low += u64::from(gate.admit(now, Some(1)) == Admission::Admit);
    }
    // 50 high-priority requests per second are offered and 40 requests are admitted, almost none of them
    // others.
    assert!(high > 350, "{high} of high priority of 500 offered, {low} others");
    assert!(low < 60, "{low}");
}

#[test]
fn plan_withholds_at_most_once_requests() {
    let mut gate = AdmissionGate::new(&CLASSES, 2_000_000);
    gate.set_plan(0, AdmissionPlan { max_rate: Some(1000.0), admits_at_most_once: false });
    assert!(matches!(gate.admit(1, Some(2)), Admission::Reject(Some(_))));
    assert!(matches!(gate.admit(1, None), Admission::Reject(Some(_))));
    assert_eq!(gate.admit(1, Some(0)), Admission::Admit);
    gate.set_plan(2, AdmissionPlan { max_rate: Some(1000.0), admits_at_most_once: true });
    assert_eq!(gate.admit(3, Some(2)), Admission::Admit);
}

/// Guards against a burst of retries: the retries of 2,000 clients that are rejected within a second are
/// spread over the longest Retry-After, and no tenth of a second gets a tenth of them.
#[test]
fn retries_of_rejected_clients_are_spread() {
    let mut gate = AdmissionGate::new(&CLASSES, 4_000_000);
    gate.set_plan(0, AdmissionPlan { max_rate: Some(300.0), admits_at_most_once: true });
    let mut retries = [0u32; 60];
    for n in 0..2000u64 {
        let now = n * 500;
        if let Admission::Reject(Some(after)) = gate.admit(now, Some(1)) {
            assert!((100_000..=4_000_000).contains(&after), "{after}");
            retries[((now + after) / 100_000) as usize] += 1;
        }
    }
    let total: u32 = retries.iter().sum();
    let max = *retries.iter().max().unwrap();
    assert!(total > 1500 && max < total / 10, "{max} of {total} in a tenth of a second: {retries:?}");
}

#[test]
fn gate_without_rate_admits_all_requests() {
    let mut gate = AdmissionGate::new(&CLASSES, 0);
    assert_eq!(gate.admit(0, Some(0)), Admission::Reject(None));
    gate.set_plan(1, AdmissionPlan { max_rate: None, admits_at_most_once: true });
    assert!((0..1000).all(|n| gate.admit(n, None) == Admission::Admit));
}
