//! Size of the list of servers, which hundreds of nodes that start together get over the same link.

use wire::updates::{Item, Items, Position, UpdateRequest};

const SERVERS: u64 = 6_000;
/// Bytes a server that a list may take: then a link of 200 Mbit/s brings it to two hundred nodes in about a second.
const BYTES_PER_SERVER: u64 = 24;

/// Spreads the bits of a number (the finalizer of splitmix64), so that names and addresses can't be compressed.
fn mix64(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A server's item, as long as those of the users' platform.
fn item(index: u64) -> Item {
    let random = mix64(index + 1);
    let [a, b, c, ..] = random.to_le_bytes();
    let value = format!(
        r#"{{"service":"models","address":"10.{}.{b}.{c}:8060","zone":"riga-{}","version":"v1","slots":16,"state":"ready","started":{},"engine":{{"model":"m","prefill":74.8,"bytes":35136,"link":180000}}}}"#,
        a % 6,
        a % 3,
        1_781_814_540_000 + random % 3_000,
    );
    let key = format!("servers/i-{:010x}", random >> 24);
    Item { key, revision: index + 1, era: 1, origin: None, value: Some(value.into_bytes().into()) }
}

/// A fleet starts. A list of 40 bytes a server would take the link of each seed for seconds, and nobody is served by
/// then.
#[test]
fn a_list_takes_few_bytes() {
    let list: Vec<_> = (0..SERVERS).map(item).collect();
    let packed = Items::pack(&list);
    let bytes = rmp_serde::to_vec_named(&packed).unwrap().len() as u64;
    assert!(bytes <= SERVERS * BYTES_PER_SERVER, "{} bytes a server", bytes / SERVERS);
    assert_eq!(packed.unpack().unwrap(), list);
}

/// Guards against a rollout in which nodes of the former program get no changes: their messages don't name an era.
#[test]
fn a_request_without_an_era_is_in_the_present_one() {
    #[derive(serde::Serialize)]
    struct Former {
        f: &'static str,
        p: Option<u64>,
    }
    let request = |p| rmp_serde::to_vec_named(&Former { f: "a", p }).unwrap();
    let decoded = UpdateRequest::decode(&request(Some(7))).unwrap();
    assert_eq!(decoded.position(3), Some(Position { era: 3, revision: 7 }));
    let decoded = UpdateRequest::decode(&request(None)).unwrap();
    assert_eq!(decoded.position(3), None);
}
