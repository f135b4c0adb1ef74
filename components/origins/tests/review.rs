//! Tests that what a node has seen speaks for no more time than its versions do.

use std::time::{Duration, Instant};

use origins::{Census, Evidence, Seen, Span, Version};

/// Guards against evidence for a time of which the versions were left out, as a node stood still between the question and its answer.
#[test]
fn a_census_covers_no_more_than_the_time_that_was_asked_for() {
    let epoch = Instant::now();
    let at = |seconds| epoch + Duration::from_secs(seconds);
    let mut census = Census::default();
    census.add(7, Version(1), at(0));
    census.add(7, Version(2), at(50));
    census.remove(7, Version(2), at(96));
    // A caller takes a stream up at 100 s, which is no older than 10 s; its node reads its census 10 s later.
    let life = Span { since: Duration::from_secs(90), until: Duration::from_secs(100) };
    let Seen { covered, versions } = census.seen(7, Duration::from_secs(11), at(110));
    let now = Duration::from_secs(110);
    let evidence =
        Evidence { span: Span::stated(now, now, covered, Some(Duration::ZERO)), versions };
    assert_eq!(Evidence::conclude(&[evidence], life), None, "v2 was listed until 96 s");
}
