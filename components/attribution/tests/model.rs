//! Walks through all short sequences on one connection to a server that may send each response again at any later time, with its
//! id or without, and checks that no copy is ever attributed to the message that was sent last.

use attribution::{Content, History, Message, Naming, Outcome, Sent, Tag};

/// Messages sent one after the other.
const DEPTH: u32 = 5;

/// What a response bears.
#[derive(Clone, Copy, PartialEq)]
struct Response {
    /// Id of the request that it names.
    id: Option<&'static str>,
    content: Content,
}

/// What can be sent on the connection, and the responses that it can get.
const MESSAGES: [(Option<&str>, &[Content]); 4] = [
    (Some("a"), &[Content::Answer, Content::Refusal]),
    (Some("b"), &[Content::Answer, Content::Refusal]),
    (Some("c"), &[Content::Answer, Content::Refusal]),
    (None, &[Content::Report, Content::Refusal]),
];

fn message(id: Option<&str>) -> Message {
    id.map_or(Message::Question, |id| Message::Request(Tag::new(id)))
}

fn naming(response: Response, id: Option<&str>) -> Naming {
    match response.id {
        None => Naming::Missing,
        named if named == id => Naming::Own,
        _ => Naming::Other,
    }
}

/// Copies that may arrive of the responses carried so far: the server may leave out their ids.
fn copies(carried: &[Response]) -> Vec<Response> {
    let unnamed = |response: &Response| Response { id: None, ..*response };
    carried.iter().copied().chain(carried.iter().map(unnamed)).collect()
}

/// An unnamed copy of an answer isn't taken for a proof: it is no valid answer to a request, and a response to a question bears no id.
fn is_harmless(copy: Response, id: Option<&str>) -> bool {
    id.is_some() && copy.id.is_none() && copy.content == Content::Answer
}

/// Outcomes with which an exchange can be ended. A request whose answer was final is never sent again.
fn outcomes(response: Response, id: Option<&str>) -> Vec<Outcome> {
    match (id, response.content) {
        (_, Content::Refusal) => vec![Outcome::Refused(naming(response, id))],
        (Some(_), Content::Answer) if response.id.is_none() => vec![],
        (Some(_), Content::Answer) => vec![Outcome::Failed, Outcome::Answered],
        (None, _) => vec![Outcome::Reported],
        (Some(_), Content::Report) => vec![],
    }
}

/// Sends each message that the history admits, and goes on after each response that can come. `settled` are the requests that
/// have their final answer.
fn walk(history: &History, carried: &[Response], settled: &[&str], depth: u32, seen: &mut u32) {
    if depth == 0 {
        return;
    }
    for (id, contents) in MESSAGES {
        let is_settled = id.is_some_and(|id| settled.contains(&id));
        if is_settled || !history.admits(message(id)) {
            continue;
        }
        let sent = history.clone().send(message(id));
        check_copies(&sent, id, carried, seen);
        for content in contents {
            for named in [id, None] {
                respond(
                    &sent,
                    id,
                    Response { id: named, content: *content },
                    carried,
                    settled,
                    depth,
                    seen,
                );
            }
        }
    }
}

fn check_copies(sent: &Sent, id: Option<&str>, carried: &[Response], seen: &mut u32) {
    for copy in copies(carried) {
        *seen += 1;
        let attributed = sent.attribute(naming(copy, id), copy.content).is_some();
        assert!(
            !attributed || is_harmless(copy, id),
            "a copy of {:?}, {:?} is attributed to {id:?}",
            copy.id,
            copy.content
        );
    }
}

fn respond(
    sent: &Sent,
    id: Option<&'static str>,
    response: Response,
    carried: &[Response],
    settled: &[&str],
    depth: u32,
    seen: &mut u32,
) {
    if sent.attribute(naming(response, id), response.content).is_none() {
        // It is skipped, and nothing else comes.
        return;
    }
    for outcome in outcomes(response, id) {
        let Some(history) = sent.clone().settle(outcome) else { continue };
        let carried: Vec<_> = carried.iter().copied().chain([response]).collect();
        let last = id.filter(|_| outcome == Outcome::Answered);
        let settled: Vec<_> = settled.iter().copied().chain(last).collect();
        walk(&history, &carried, &settled, depth - 1, seen);
    }
}

/// Guards against any sequence in which a response from before a message counts as the response to it.
#[test]
fn no_copy_is_attributed() {
    let mut seen = 0;
    walk(&History::default(), &[], &[], DEPTH, &mut seen);
    assert!(seen > 1_000, "{seen} copies");
}

/// Guards against refusals that no longer count: a server that names the request it refuses, and one that doesn't, are believed on
/// a connection that carried nothing or only answers.
#[test]
fn a_refusal_counts_where_nothing_can_be_mistaken_for_it() {
    let fresh = History::default().send(message(Some("a")));
    assert!(fresh.attribute(Naming::Own, Content::Refusal).is_some());
    assert!(fresh.attribute(Naming::Missing, Content::Refusal).is_some());
    let used = fresh.settle(Outcome::Answered).expect("an answer lets a connection be kept");
    let used = used.send(message(Some("b")));
    assert!(used.attribute(Naming::Missing, Content::Refusal).is_some());
    assert!(used.settle(Outcome::Refused(Naming::Missing)).is_none());
}

/// Guards against memory that grows with the refusals of a full server: a connection remembers a few and isn't used again then.
#[test]
fn a_connection_is_given_up_after_some_refusals() {
    let mut history = Some(History::default());
    let mut count = 0;
    while let Some(before) = history {
        assert!(count < 100, "it is still used");
        let request = Message::Request(Tag::new(&count.to_string()));
        history = before.send(request).settle(Outcome::Refused(Naming::Own));
        count += 1;
    }
    assert!(count > 8, "it isn't used after {count} refusals");
}

/// Guards against a connection that is never used again because one request was refused on it.
#[test]
fn a_refusal_keeps_only_its_own_request_away() {
    let sent = History::default().send(message(Some("a")));
    let history =
        sent.settle(Outcome::Refused(Naming::Own)).expect("a named refusal is told by its id");
    assert!(!history.admits(message(Some("a"))));
    assert!(history.admits(message(Some("b"))));
    assert!(!history.admits(Message::Question));
    assert_eq!(history.carried(), 1);
}
