use super::fingerprint;

/// Requests that differ in one field must not be taken for each other.
#[test]
fn each_field_counts() {
    let base = fingerprint(Some("choir"), "POST", "desk.example", "/draft/a", b"arc");
    let others = [
        fingerprint(Some("band"), "POST", "desk.example", "/draft/a", b"arc"),
        fingerprint(None, "POST", "desk.example", "/draft/a", b"arc"),
        fingerprint(Some("choir"), "PUT", "desk.example", "/draft/a", b"arc"),
        fingerprint(Some("choir"), "POST", "desk.example/", "draft/a", b"arc"),
        fingerprint(Some("choir"), "POST", "desk.example", "/draft/a?x=1", b"arc"),
        fingerprint(Some("choir"), "POST", "desk.example", "/draft/a", b"arcs"),
    ];
    assert!(others.iter().all(|other| *other != base));
    assert_eq!(base, fingerprint(Some("choir"), "POST", "desk.example", "/draft/a", b"arc"));
}
