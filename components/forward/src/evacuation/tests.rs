use std::time::{Duration, Instant};

use super::Evacuations;

/// Guards against an order that is read again and counts as new, which would make its domain's servers cold again
/// when it ends twice.
#[test]
fn only_changes_are_news() {
    let (evacuations, start) = (Evacuations::default(), Instant::now());
    let later = start + Duration::from_secs(1);
    assert!(!evacuations.set("riga-a", false, start), "it wasn't evacuated");
    assert!(evacuations.set("riga-a", true, start));
    assert!(!evacuations.set("riga-a", true, later));
    assert!(evacuations.set("riga-b", true, later));
    assert_eq!(evacuations.all(), [("riga-a".to_string(), start), ("riga-b".to_string(), later)]);
    assert!(evacuations.set("riga-a", false, later));
    assert!(!evacuations.contains("riga-a") && evacuations.contains("riga-b"));
}
