//! The golden file of the names under which rejections are counted in status documents.

use pintally_guards::Counted;
use pintally_host::{RejectionReason, Rejections};

#[test]
fn names_of_rejections() {
    let mut counts = Rejections::default();
    RejectionReason::KINDS.iter().for_each(|kind| counts.add(*kind));
    let got: String = counts.by_name().map(|(name, count)| format!("{name} {count}\n")).collect();
    assert_eq!(got, include_str!("golden/refusals.txt"));
}
