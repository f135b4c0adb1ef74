//! Tests that builds of different versions can read each other's frames.

use serde::{Deserialize, Serialize};
use wire::{Demand, Frame, InFlight, Liveness, Load, VERSION};

fn frame() -> Frame {
    Frame {
        version: VERSION,
        from: "entry-0".into(),
        incarnation: 1_764_000_000_000,
        sequence: 7,
        revision: 3,
        digest: 4,
        in_flight: vec![InFlight { key: wire::key("engine-0"), count: 2 }],
        demand: vec![Demand { tier: 0, waiting: 1, in_flight: 2 }],
        liveness: vec![Liveness { node: wire::key("entry-1"), age_ms: 300 }],
        loads: vec![Load {
            server: wire::key("engine-0"),
            age_ms: 120,
            running: 3,
            queued: 0,
            slots: 4,
            token_interval_us: 9_000,
            leaving: false,
        }],
        ..Default::default()
    }
}

/// A frame of another build, as a map of fields that may lack some of today's or have further ones.
#[derive(Serialize, Deserialize)]
struct OtherBuild {
    #[serde(flatten)]
    fields: std::collections::BTreeMap<String, serde_value::Value>,
}

mod serde_value {
    //! Any MessagePack value that frames use.
    use serde::{Deserialize, Serialize};

    #[derive(Clone, Serialize, Deserialize)]
    #[serde(untagged)]
    pub enum Value {
        Flag(bool),
        Number(u64),
        Text(String),
        List(Vec<Value>),
    }
}

use serde_value::Value;

// During a rollout half of the nodes run the newer build. If the older ones refused its frames, the
// fleet would split into two parts that each consider the other unreachable, and a sixth of the
// servers' slots would go unused.
#[test]
fn can_read_a_newer_build() {
    let mut newer: OtherBuild = rmp_serde::from_slice(&frame().encode()).unwrap();
    newer.fields.insert("v".into(), Value::Number(u64::from(VERSION) + 1));
    newer.fields.insert("zz".into(), Value::List(vec![Value::Text("later".into())]));
    let read = Frame::decode(&rmp_serde::to_vec_named(&newer).unwrap()).unwrap();
    assert_eq!(read, Frame { version: VERSION + 1, ..frame() });
}

// The same rollout from the other side: an older build doesn't send the lists that were added later.
#[test]
fn can_read_an_older_build() {
    let mut older: OtherBuild = rmp_serde::from_slice(&frame().encode()).unwrap();
    older.fields.retain(|name, _| ["v", "f", "i", "r"].contains(&name.as_str()));
    let read = Frame::decode(&rmp_serde::to_vec_named(&older).unwrap()).unwrap();
    assert_eq!((read.from, read.revision), ("entry-0".to_string(), 3));
    assert!(read.in_flight.is_empty() && read.demand.is_empty());
}

#[test]
fn can_encode_a_frame_in_few_bytes() {
    let empty =
        Frame { in_flight: vec![], demand: vec![], liveness: vec![], loads: vec![], ..frame() };
    let bare = empty.encode().len();
    assert!(bare <= 64, "a bare frame takes {bare} bytes");
    let whole = frame().encode().len();
    assert!(whole <= bare + 60, "four rows take {} bytes", whole - bare);
}

#[test]
fn errors_on_noise_without_a_panic() {
    let bytes = frame().encode();
    for length in 0..bytes.len() {
        assert!(Frame::decode(&bytes[..length]).is_err());
    }
    assert!(Frame::decode(b"\xc1 not a frame").is_err());
}
