//! Hands the records of idempotency keys over from a leaving owner to the next owners, so that a
//! duplicate of a call still gets the outcome of the first.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use idempotency::{CallKey, Member, Record, StoredAnswer};
use wire::{Handover, handover};

use crate::answer::Answer;
use crate::peers;
use crate::state::State;

/// Path of a handover at the listener for peers.
pub(crate) const PATH: &str = "/handover";
/// Calls in one frame.
const BATCH_SIZE: usize = 200;
/// Largest frame: a batch of calls, each with the longest answer that is stored.
const MAX_FRAME_BYTES: usize = 2 << 20;
/// Time for an owner to accept a frame. One that doesn't refuses the keys by their issue time.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the records of all calls to the next owners of their keys.
pub(crate) async fn send(state: &Rc<State>) {
    let mut all: BTreeMap<Member, Vec<handover::Call>> = BTreeMap::new();
    for (member, name, record) in state.key_owner.borrow().handover() {
        all.entry(member).or_default().push(encode_call(name, record));
    }
    for (member, calls) in all {
        for batch in calls.chunks(BATCH_SIZE) {
            let frame = Handover { calls: batch.to_vec() }.encode();
            let url = format!("http://{}{PATH}", member.address);
            let request = state.peer_client.post(url).timeout(TIMEOUT);
            let request = request.insert_header((peers::SECRET_HEADER, state.node.secret.clone()));
            if let Err(cause) = request.send_body(frame).await {
                log::warn!(home = member.name.as_str(), cause:% = cause; "handover failed");
                break;
            }
        }
    }
}

fn encode_call(name: CallKey, record: Record) -> handover::Call {
    let answer = match record {
        Record::Complete(Some(stored)) => Some(handover::Answer {
            status: stored.status,
            media: stored.media.clone(),
            body: stored.body.clone(),
        }),
        _ => None,
    };
    handover::Call { workspace: name.workspace, key: name.key.to_string(), answer }
}

/// Accepts the records of calls that a leaving owner allowed to run.
pub(crate) async fn handle(state: Rc<State>, mut request: Request) -> Answer {
    let body = match listen::read_body(&mut request, MAX_FRAME_BYTES).await {
        Ok(body) => body,
        Err(error) => return error.response(),
    };
    let Ok(handover) = Handover::decode(&body) else {
        return Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body();
    };
    let mut owner = state.key_owner.borrow_mut();
    for call in handover.calls {
        let Ok(key) = ids::Request::parse(&call.key) else { continue };
        let record = match call.answer {
            Some(handover::Answer { status, media, body }) => {
                Record::Complete(Some(Rc::new(StoredAnswer { status, media, body })))
            }
            None => Record::Unknown,
        };
        owner.accept_handover(CallKey { workspace: call.workspace, key }, record);
    }
    Response::new(StatusCode::OK).map_into_boxed_body()
}
