//! Checks that `docs/SETTINGS.md` matches the table of leaves and that each default is valid.

use std::fmt::Write;

use settings::{Kind, Leaf};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
const BEGIN: &str = "<!-- from the table of leaves; `UPDATE_PAGES=1 cargo test -p settings` -->\n";

fn markdown_table() -> String {
    let mut table = String::from(
        "| setting | what | value | default | branches |\n| --- | --- | --- | --- | --- |\n",
    );
    for leaf in Leaf::ALL {
        let spec = leaf.spec();
        let default = match (spec.default, leaf.default()) {
            (Some(_), Some(value)) => format!("`{value}`"),
            _ => "none".to_string(),
        };
        let scope: Vec<_> = spec.scope.iter().map(|kind| kind.as_str()).collect();
        let allowed = spec.value_type.describe();
        let _ = writeln!(
            table,
            "| `{}` | {} | {allowed} | {default} | {} |",
            spec.name,
            spec.help,
            scope.join(", ")
        );
    }
    table
}

#[test]
fn can_find_each_setting_on_the_page() {
    let page = std::fs::read_to_string(PAGE).unwrap();
    let (head, current) = page.split_once(BEGIN).expect("the page marks where its table begins");
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(PAGE, format!("{head}{BEGIN}{}", markdown_table())).unwrap();
        return;
    }
    assert_eq!(
        current,
        markdown_table(),
        "run `UPDATE_PAGES=1 cargo test -p settings` and read the diff"
    );
}

#[test]
fn can_read_each_default() {
    for leaf in Leaf::ALL {
        let spec = leaf.spec();
        assert_eq!(spec.default.is_some(), leaf.default().is_some(), "{}", spec.name);
        assert_eq!(Leaf::from_name(spec.name), Some(*leaf));
        assert!(!spec.scope.is_empty());
    }
    assert!(Kind::ALL.iter().enumerate().all(|(at, kind)| Kind::ALL[at] == *kind));
}
