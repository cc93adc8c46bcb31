//! Compares the names under which status documents count rejections with a golden file.

use pintally_guards::Counted;
use pintally_host::{RejectionReason, Rejections};

#[test]
fn rejection_names_in_status_documents() {
    let mut counts = Rejections::default();
    RejectionReason::KINDS.iter().for_each(|kind| counts.add(*kind));
    let got: String = counts.by_name().map(|(name, count)| format!("{name} {count}\n")).collect();
    assert_eq!(got, include_str!("golden/rejection_reasons.txt"));
}
