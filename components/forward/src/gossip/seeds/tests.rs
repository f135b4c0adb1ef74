use std::time::{Duration, Instant};

use super::{PROBES, RETRY_AFTER, Seeds};

/// One of three seeds is in the node's region, and later it is gone for a while. The node reports to the nearest
/// seed that answers: each call to another region is paid for, and a seed that is gone would leave the node
/// without answers.
#[test]
fn the_nearest_seed_that_answers_gets_the_reports() {
    let address = |port: u16| std::net::SocketAddr::from(([10, 0, 0, 1], port));
    let [far, near, gone] = [1, 2, 3].map(address);
    let (mut seeds, now) = (Seeds::new(vec![far, near, gone]), Instant::now());
    for (seed, millis) in [(far, Some(16)), (near, Some(2)), (gone, None)] {
        assert_eq!(seeds.select(now), Some(seed), "each is tried once");
        seeds.record_answer(seed, millis.map(Duration::from_millis), now);
    }
    for (seed, millis) in [(near, 2), (far, 16)].repeat(PROBES as usize - 1) {
        assert_eq!(seeds.select(now), Some(seed), "each is tried as often");
        assert_eq!(seeds.nearest(), None, "before all are compared");
        seeds.record_answer(seed, Some(Duration::from_millis(millis)), now);
    }
    assert_eq!((seeds.select(now), seeds.nearest()), (Some(near), Some(near)));
    seeds.record_answer(near, None, now);
    assert_eq!((seeds.select(now), seeds.nearest()), (Some(far), Some(near)));
    seeds.record_answer(far, None, now + Duration::from_millis(1));
    assert_eq!(seeds.select(now), Some(gone), "the one that is due for a retry first");
    let later = now + RETRY_AFTER;
    seeds.record_answer(gone, None, later);
    assert_eq!(seeds.select(later), Some(near), "tried again");
}

/// A whole fleet starts at once. The seed of a node's own region is still starting, and its first answer takes
/// longer than that of a seed across a narrow link. If the choice went by the first answer, a third of the fleet
/// would go on reporting across the link, which is paid for by volume.
#[test]
fn one_slow_answer_at_the_start_doesnt_decide() {
    let address = |port: u16| std::net::SocketAddr::from(([10, 0, 0, 1], port));
    let [near, far] = [1, 2].map(address);
    let (mut seeds, now) = (Seeds::new(vec![near, far]), Instant::now());
    for call in 0..PROBES * 2 {
        let seed = seeds.select(now).expect("there are seeds");
        let millis = if seed == far {
            16
        } else if call < 2 {
            60
        } else {
            2
        };
        seeds.record_answer(seed, Some(Duration::from_millis(millis)), now);
    }
    assert_eq!(seeds.select(now), Some(near));
}
