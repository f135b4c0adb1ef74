//! Tries all orders of few events: schemes by which servers number events, and events that are lost.

use endings::{Before, Numbering, Verdict};

/// Events of a stream.
const LENGTH: usize = 5;

/// Judges the events of a new stream that a server sends; returns those that come before the first one which shows that
/// others are missing.
fn pass_on<'a>(numbering: &mut Numbering, server: u32, ids: &'a [u64]) -> &'a [u64] {
    let mut before = Before::Nothing;
    for (index, id) in ids.iter().enumerate() {
        if numbering.judge(server, before, *id) == Verdict::Missing {
            return &ids[..index];
        }
        before = Before::SameAnswer(*id);
    }
    ids
}

/// All ways to choose events of a stream, by the bits of a number.
fn subsets() -> impl Iterator<Item = Vec<u64>> {
    let is_chosen = |chosen: u32, index: usize| chosen >> index & 1 == 1;
    (1..1 << LENGTH).map(move |chosen| {
        (0..LENGTH)
            .filter(|index| is_chosen(chosen, *index))
            .map(|index| index as u64 + 1)
            .collect()
    })
}

/// Whether an event between the first and the last one isn't there.
fn lacks_inner_event(ids: &[u64]) -> bool {
    ids.windows(2).any(|pair| pair[0] + 1 != pair[1])
}

/// Servers number events one by one from 1, and one stream lacks some of them. Guards against an event that is passed on
/// although the one before it is missing, whether or not there were streams before.
#[test]
fn no_event_is_passed_on_after_a_missing_one() {
    for seen in [0, 1, 2, 40] {
        for server in [1, 2] {
            for ids in subsets() {
                let mut numbering = Numbering::default();
                for stream in 0..seen {
                    assert_eq!(pass_on(&mut numbering, stream % 2, &[1, 2, 3, 4, 5]).len(), LENGTH);
                }
                let passed_on = pass_on(&mut numbering, server, &ids);
                if ids[0] == 1 || seen == 40 {
                    let whole = (1..).zip(&ids).take_while(|(id, sent)| id == *sent).count();
                    assert_eq!(passed_on, &ids[..whole], "after {seen} streams: {ids:?}");
                } else if seen > 0 {
                    assert!(!lacks_inner_event(passed_on), "after {seen} streams: {ids:?}");
                }
            }
        }
    }
}

/// One server of several loses events, in all orders of six streams. Guards against one faulty server by which the node
/// concludes that ids have gaps, while it has seen as many others.
#[test]
fn a_faulty_server_doesnt_hide_missing_events() {
    for order in 0_u32..1 << 6 {
        let mut numbering = Numbering::default();
        let mut sound = false;
        for stream in 0..6 {
            let is_faulty = order >> stream & 1 == 1;
            let ids: &[u64] = if is_faulty { &[1, 2, 4] } else { &[1, 2, 3, 4] };
            let passed_on = pass_on(&mut numbering, u32::from(is_faulty), ids);
            sound |= !is_faulty;
            if !is_faulty {
                assert_eq!(passed_on, ids, "{order:b}, {stream}");
            } else if sound || stream == 0 {
                assert_eq!(passed_on, [1, 2], "{order:b}, {stream}");
            }
        }
    }
}

/// Servers whose ids have gaps, in all schemes of few ids, and all orders of two servers. Guards against more than one
/// stream for each server that is broken off for it, and against any whose ids don't begin at 1.
#[test]
fn streams_with_gaps_are_broken_off_once_at_most() {
    let from_seven = |ids: &[u64]| ids.iter().map(|id| id + 6).collect::<Vec<_>>();
    for ids in subsets().filter(|ids| lacks_inner_event(ids)) {
        for order in 0_u32..1 << 6 {
            let [mut from_one, mut later] = [Numbering::default(), Numbering::default()];
            let (mut broken_off, shifted) = (0, from_seven(&ids));
            for stream in 0..6 {
                let server = order >> stream & 1;
                broken_off += u32::from(pass_on(&mut from_one, server, &ids).len() < ids.len());
                assert_eq!(pass_on(&mut later, server, &shifted), shifted, "{order:b}");
            }
            assert!(broken_off <= 2, "{ids:?}, {order:b}: {broken_off}");
        }
    }
}

/// Gaps are rare, but belong to the ids of all servers. Guards against streams that are broken off again and again.
#[test]
fn rare_gaps_that_all_servers_have_are_learnt() {
    for length in [5, 20, 100] {
        let mut numbering = Numbering::default();
        let broken_off = |stream: u64| {
            let ids: Vec<_> =
                (1..=length).map(|event| (stream * length + event) * 50 / 49).collect();
            pass_on(&mut numbering, (stream % 4) as u32, &ids).len() < ids.len()
        };
        let broken_off = (0..2_000).map(broken_off).filter(|broken_off| *broken_off).count();
        assert!(broken_off <= 12, "{length}: {broken_off}");
    }
}

/// A process loses an event once. Guards against concluding from it that the ids of a service have gaps.
#[test]
fn a_single_loss_is_forgotten() {
    let mut numbering = Numbering::default();
    let mut noticed = 0;
    for stream in 0..1_000 {
        let loses = stream % 100 == 70;
        let ids: &[u64] = if loses { &[1, 2, 4] } else { &[1, 2, 3, 4] };
        noticed += usize::from(pass_on(&mut numbering, 1, ids) == [1, 2]);
    }
    assert_eq!(noticed, 10);
}

/// A stream goes on in another answer, after each event and at each later one. Guards against pieces that are missing
/// between two answers.
#[test]
fn no_answer_goes_on_after_a_missing_event() {
    for last in 1..=5 {
        for id in last + 1..=8 {
            let expected = if id == last + 1 { Verdict::Next } else { Verdict::Missing };
            let before = Before::EarlierAnswer(last);
            let mut numbering = Numbering::default();
            pass_on(&mut numbering, 1, &[1, 2]);
            assert_eq!(numbering.judge(2, before, id), expected, "{last}, {id}");
            if last == 1 {
                assert_eq!(Numbering::default().judge(2, before, id), expected, "{last}, {id}");
            }
        }
    }
}

/// The same where ids have gaps. Guards against streams that can't be resumed because of the way they are numbered, also
/// on a node that has just started.
#[test]
fn streams_with_gaps_go_on_anywhere() {
    for last in 2..=5 {
        for id in last + 2..=9 {
            let before = Before::EarlierAnswer(last);
            assert_eq!(Numbering::default().judge(1, before, id), Verdict::Unproven);
            let mut numbering = Numbering::default();
            pass_on(&mut numbering, 1, &[3, 8, 20]);
            assert_eq!(numbering.judge(2, before, id), Verdict::Unproven, "{last}, {id}");
        }
    }
}

/// A caller that has no event yet says so by a lower id. Guards against refusing it because ids begin later.
#[test]
fn a_caller_may_name_an_id_before_the_first() {
    let mut numbering = Numbering::default();
    for _ in 0..20 {
        pass_on(&mut numbering, 1, &[100, 101, 102]);
    }
    assert_eq!(numbering.judge(1, Before::EarlierAnswer(0), 100), Verdict::Next);
    assert_eq!(numbering.judge(1, Before::EarlierAnswer(0), 101), Verdict::Missing);
    assert_eq!(numbering.judge(1, Before::EarlierAnswer(101), 103), Verdict::Missing);
}

/// Many servers come and go, and ids are as large as can be. Guards against memory that grows and against overflow.
#[test]
fn many_servers_and_large_ids_are_borne() {
    let mut numbering = Numbering::default();
    for server in 0..10_000 {
        pass_on(&mut numbering, server, &[1, 2, 3]);
    }
    let last = u64::MAX - 1;
    assert_eq!(numbering.judge(1, Before::SameAnswer(last), u64::MAX), Verdict::Next);
    assert_eq!(numbering.judge(1, Before::SameAnswer(0), u64::MAX), Verdict::Missing);
}
