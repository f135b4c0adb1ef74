//! Property tests that parsing and resolving a tree handles any text.

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngSeed};
use settings::Effective;

const TREE: &str = r#"
[deployment]
first_token = "870ms"
[region.riga]
[domain.riga-a]
region = "riga"
[tier.top]
rank = 0
[class.booking]
tier = "top"
deadline = "30s"
[engine.runner]
models = ["small"]
[server.one]
domain = "riga-a"
engine = "runner"
address = "127.0.0.1:8000"
"#;

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Builds the settings from a text and returns whether it is valid. Faults must have a message.
fn build(text: String) -> bool {
    match Effective::build(1, &[("tree".to_string(), text)], None) {
        Ok(_) => true,
        Err(faults) => {
            assert!(!faults.to_string().is_empty(), "the text was refused without a message");
            false
        }
    }
}

#[test]
fn can_read_the_tree_as_it_is() {
    assert!(build(TREE.to_string()));
}

proptest! {
    #![proptest_config(config())]

    // Guards against a crash when someone publishes a text that isn't a tree: it is refused with a
    // reason.
    #[test]
    fn can_refuse_any_text(text in "\\PC{0,80}") {
        build(text);
    }

    // Guards against a crash on an operator's typing error: some characters of a valid tree are
    // replaced. The tree is refused with a reason or is still valid.
    #[test]
    fn can_read_a_tree_with_a_typing_error(at in any::<Index>(), typo in "[\\PC\n]{0,4}") {
        let at = at.index(TREE.len());
        build(format!("{}{typo}{}", &TREE[..at], &TREE[(at + 2).min(TREE.len())..]));
    }

    // Guards against a crash on values of the wrong type or far out of range.
    #[test]
    fn can_read_a_tree_with_odd_values(
        number in any::<i64>(),
        unit in prop::sample::select(vec!["", "ms", "s", "h", "MiB", "x", "s s"]),
    ) {
        for leaf in ["first_token", "queue", "link_bytes", "grace", "weight", "cell_nodes"] {
            let value = format!("{leaf} = \"{number}{unit}\"\n{leaf}x = {number}");
            build(TREE.replace("first_token = \"870ms\"", &value));
            build(TREE.replace("first_token = \"870ms\"", &format!("{leaf} = {number}")));
        }
    }
}
