//! What a caller got of an answer in pieces, and what is wrong with it.

use crate::fixture::{Kind, RESPONSE_HEAD};

/// A piece of an answer, and which run of which server wrote it.
#[derive(Clone, Debug, PartialEq)]
struct Piece {
    /// Start of a server, and its run.
    run: String,
    number: u32,
}

/// An answer as a caller read it.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// Whether it ended as its length or its chunks require.
    pub complete: bool,
    signed: bool,
    body: String,
}

impl Answer {
    /// Reads what came on a connection until it ended.
    ///
    /// The text may end anywhere.
    pub fn parse(text: &str) -> Self {
        let Some((head, body)) = text.split_once("\r\n\r\n") else { return Answer::default() };
        let head = head.to_lowercase();
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let (body, complete) = match length {
            Some(length) => (body.to_string(), length.trim().parse() == Ok(body.len())),
            None if head.contains("transfer-encoding: chunked") => dechunk(body),
            None => (body.to_string(), false),
        };
        let signature = RESPONSE_HEAD.lines().find_map(|line| line.strip_suffix("s.1"));
        let signed = head.contains(signature.expect("a server's answer is signed"));
        Answer { status, complete, signed, body }
    }

    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u32> {
        self.pieces().ok()?.last().map(|piece| piece.number)
    }

    /// The whole pieces of the body; or what is no piece.
    fn pieces(&self) -> Result<Vec<Piece>, String> {
        let streams = self.body.starts_with("id: ");
        let end = if streams { "\n\n" } else { "\n" };
        let whole = self.body.rfind(end).map_or("", |at| &self.body[..at + end.len()]);
        let texts = whole.split_terminator(end);
        texts.map(|text| Piece::parse(text, streams).ok_or(format!("{text:?}"))).collect()
    }

    /// What is wrong with an answer to a request for this many pieces. If it is taken up, it goes on after `last`.
    pub fn fault(&self, kind: Kind, count: u32, last: u32) -> Option<String> {
        if !self.is_success() {
            return None;
        }
        if !self.signed {
            return Some("MIXED: a success without a signature".to_string());
        }
        let pieces = match self.pieces() {
            Ok(pieces) => pieces,
            Err(text) => return Some(format!("MIXED: no piece: {text}")),
        };
        let word = if kind.streams() { "ORDER" } else { "MIXED" };
        for (expected, piece) in (last + 1..).zip(&pieces) {
            if piece.number != expected {
                return Some(format!("{word}: piece {} in place of {expected}", piece.number));
            }
        }
        let mut runs: Vec<_> = pieces.iter().map(|piece| &piece.run).collect();
        runs.dedup();
        if runs.len() > 1 && kind != Kind::Resumable {
            return Some(format!("{word}: pieces of {runs:?}"));
        }
        if (1..runs.len()).any(|at| runs[..at].contains(&runs[at])) {
            return Some(format!("{word}: pieces of {runs:?}, one run after another"));
        }
        if !self.complete {
            return None;
        }
        let got = last as usize + pieces.len();
        if got != count as usize {
            return Some(format!("{word}: complete after piece {got} of {count}"));
        }
        let end = if kind.streams() { "\n\n" } else { "\n" };
        // Nothing but whole pieces; none are left if the caller had them all when it took the stream up.
        if !self.body.is_empty() && !self.body.ends_with(end) {
            return Some(format!("{word}: complete with a part of a piece at its end"));
        }
        None
    }
}

impl Piece {
    fn parse(text: &str, streams: bool) -> Option<Self> {
        let (id, text) = if streams {
            let (id, text) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
            (Some(id.parse().ok()?), text)
        } else {
            (None, text)
        };
        let (run, number) = text.rsplit_once('.')?;
        let number = number.parse().ok()?;
        let whole = id.is_none_or(|id: u32| id == number) && run.contains('.');
        whole.then(|| Piece { run: run.to_string(), number })
    }
}

/// What has arrived of a body in chunks, and whether that is all of it.
fn dechunk(mut body: &str) -> (String, bool) {
    let mut whole = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { return (whole, false) };
        if size == 0 {
            return (whole, rest == "\r\n");
        }
        let Some(rest) = rest.get(size..) else {
            whole.push_str(rest);
            return (whole, false);
        };
        whole.push_str(&body[body.len() - rest.len() - size..body.len() - rest.len()]);
        let Some(rest) = rest.strip_prefix("\r\n") else { return (whole, false) };
        body = rest;
    }
    (whole, false)
}
