//! Hands the calls that a leaving home let through to the homes after it, so that a repeated call
//! is told what became of it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use idempotency::{CallKey, Member, Record, StoredAnswer};
use wire::{Handover, handover};

use crate::answer::Answer;
use crate::peers;
use crate::state::State;

/// Path of a handover on the peers' listener.
pub(crate) const PATH: &str = "/handover";
/// Calls in one frame.
const BATCH: usize = 200;
/// Largest frame: a batch with the longest answer that is kept each.
const LARGEST: usize = 2 << 20;
/// Time for a home to take a frame; one that doesn't refuses the keys by their issue time.
const ANSWER: Duration = Duration::from_secs(1);

/// Sends all calls to the homes after this one.
pub(crate) async fn send(state: &Rc<State>) {
    let mut all: BTreeMap<Member, Vec<handover::Call>> = BTreeMap::new();
    for (member, name, record) in state.home.borrow().handover() {
        all.entry(member).or_default().push(call(name, record));
    }
    for (member, calls) in all {
        for batch in calls.chunks(BATCH) {
            let frame = Handover { calls: batch.to_vec() }.encode();
            let url = format!("http://{}{PATH}", member.address);
            let request = state.http.post(url).timeout(ANSWER);
            let request = request.insert_header((peers::SECRET, state.node.secret.clone()));
            if let Err(cause) = request.send_body(frame).await {
                log::warn!(home = member.name.as_str(), cause:% = cause; "handover failed");
                break;
            }
        }
    }
}

fn call(name: CallKey, record: Record) -> handover::Call {
    let answer = match record {
        Record::Complete(Some(kept)) => Some(handover::Answer {
            status: kept.status,
            media: kept.media.clone(),
            body: kept.body.clone(),
        }),
        _ => None,
    };
    handover::Call { workspace: name.workspace, key: name.key.to_string(), answer }
}

/// Takes calls in that another home let through.
pub(crate) async fn handle(state: Rc<State>, mut request: Request) -> Answer {
    let body = match listen::read_body(&mut request, LARGEST).await {
        Ok(body) => body,
        Err(unread) => return unread.response(),
    };
    let Ok(handover) = Handover::decode(&body) else {
        return Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body();
    };
    let mut home = state.home.borrow_mut();
    for call in handover.calls {
        let Ok(key) = ids::Request::parse(&call.key) else { continue };
        let record = match call.answer {
            Some(handover::Answer { status, media, body }) => {
                Record::Complete(Some(Rc::new(StoredAnswer { status, media, body })))
            }
            None => Record::Unknown,
        };
        home.accept_handover(CallKey { workspace: call.workspace, key }, record);
    }
    Response::new(StatusCode::OK).map_into_boxed_body()
}
