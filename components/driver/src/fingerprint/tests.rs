use super::fingerprint;

/// Guards against taking requests for the same that differ in one field, or only in where a field ends.
#[test]
fn each_field_counts() {
    let request: [&[u8]; 3] = [b"choir", b"/draft/a", b"arc"];
    let others: [&[&[u8]]; 5] = [
        &[b"band", b"/draft/a", b"arc"],
        &[b"choir", b"/draft/a?x=1", b"arc"],
        &[b"choir", b"/draft/a", b"arcs"],
        &[b"choir/", b"draft/a", b"arc"],
        &[b"choir", b"/draft/aarc"],
    ];
    assert!(others.iter().all(|other| fingerprint(other) != fingerprint(&request)));
    assert_eq!(fingerprint(&request), fingerprint(&[b"choir", b"/draft/a", b"arc"]));
}
