//! The golden file of the names under which denials and closed connections are counted in status documents.

use pintally_guards::{CloseReason, Counted, Counts, Denial};

fn names<K: Counted>() -> String {
    let mut counts = Counts::<K>::default();
    K::KINDS.iter().for_each(|kind| counts.add(*kind));
    counts.by_name().map(|(name, count)| format!("{name} {count}\n")).collect()
}

#[test]
fn names_in_status_documents() {
    let got = format!("denied:\n{}closes:\n{}", names::<Denial>(), names::<CloseReason>());
    assert_eq!(got, include_str!("golden/names.txt"));
}
