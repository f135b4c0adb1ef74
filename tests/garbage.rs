//! The reader of callers' bodies against whatever text comes.

mod common;

use common::{Site, post};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BODY: &str = r#"{"model":"small","max_tokens":3,"stream":false,"messages":[{"a":"b"}]}"#;
/// No digits, since an answer of a billion tokens is a fair wish.
const SLIPS: [&str; 12] = ["{", "}", "[", "]", "\"", ",", ":", "\\", " ", "-", "\u{0}", "ā"];
const CALLS: usize = 300;

// A caller's program sends a body with some characters wrong. The caller gets an answer with an
// outcome each time, and the next call finds the router as it was.
#[actix_rt::test]
async fn can_answer_any_body() {
    let site = Site::start(1, 1).await;
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut served, mut refused) = (0, 0);
    for _ in 0..CALLS {
        let mut body: Vec<char> = BODY.chars().collect();
        for _ in 0..rng.random_range(1..=3) {
            let at = rng.random_range(0..body.len());
            let slip = SLIPS[rng.random_range(0..SLIPS.len())];
            body.splice(at..=at, slip.chars());
        }
        let body: String = body.into_iter().collect();
        let answer = site.session(&post("/v1/chat/completions", "", &body)).await;
        match () {
            () if answer.contains("x-outcome: complete") => served += 1,
            () if answer.contains("x-outcome: not-run") => refused += 1,
            () => panic!("{body}\n{answer}"),
        }
    }
    assert!(served > 0 && refused > 0, "{served} served, {refused} refused: too much of a kind");
    assert_eq!(site.engines[0].total(), served);
    assert_eq!(site.routers[0].open_requests(), 0);
}
