//! Reports of recorded and of planted lines.

use losses::{Cause, Line, Losses};

/// A line of a request that ended; `fields` go before the usual ones.
fn ended(fields: &str) -> String {
    let usual = r#""request":"a","route":"draft","server":"e1","target_ms":1000,"limit_ms":6000"#;
    format!(r#"{{"msg":"ended","at_ms":5000,{fields},{usual}}}"#)
}

/// Each way in which a request is lost, as its node logs it. An engineer who is told the wrong one looks
/// for the fault at the wrong place.
#[test]
fn each_cause_is_told_by_what_is_logged() {
    let stream = r#""bears_ms":250,"outcome":"complete","status":200"#;
    let table = [
        (r#""first_ms":900,"took_ms":2000,"sent_ms":0,"#, stream, None),
        (r#""first_ms":1500,"took_ms":2000,"sent_ms":1300,"sends":1,"#, stream, Some(Cause::Place)),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":1300,"sends":2,"#,
            stream,
            Some(Cause::Retried),
        ),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":0,"reading_ms":900,"backlog_ms":300,"#,
            stream,
            Some(Cause::Reading),
        ),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":0,"reading_ms":90,"backlog_ms":800,"#,
            stream,
            Some(Cause::Behind),
        ),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":0,"reading_ms":90,"backlog_ms":20,"#,
            stream,
            Some(Cause::Slow),
        ),
        (r#""first_ms":500,"took_ms":2000,"pause_ms":300,"#, stream, Some(Cause::Pause)),
        (
            r#""first_ms":500,"took_ms":5990,"#,
            r#""outcome":"broken-off","status":0"#,
            Some(Cause::Long),
        ),
        (
            r#""first_ms":500,"took_ms":900,"#,
            r#""outcome":"broken-off","status":0"#,
            Some(Cause::Lost),
        ),
        (r#""took_ms":900,"#, r#""outcome":"unknown","status":502"#, Some(Cause::Lost)),
        (
            r#""took_ms":6000,"sent_ms":0,"#,
            r#""outcome":"caller-gone","status":0"#,
            Some(Cause::Slow),
        ),
        (r#""took_ms":6000,"#, r#""outcome":"caller-gone","status":0"#, Some(Cause::Place)),
        (r#""took_ms":600,"#, r#""outcome":"caller-gone","status":0"#, Some(Cause::Left)),
        (r#""took_ms":40,"#, r#""outcome":"complete","status":500"#, Some(Cause::Failed)),
        (r#""took_ms":40,"#, r#""outcome":"complete","status":404"#, None),
        (r#""took_ms":40,"#, r#""outcome":"no room","status":503"#, Some(Cause::Refused)),
    ];
    for (times, rest, cause) in table {
        let text = ended(&format!("{times}{rest}"));
        let Some(Line::Ended(ended, Some(5_000))) = Line::read(&text) else { panic!("{text}") };
        assert_eq!(Cause::of(&ended), cause, "{text}");
    }
}

/// Logs of several nodes come unordered, some lines cut in the middle and some left out under load. The
/// report counts what it couldn't read in place of guessing.
#[test]
fn a_report_says_what_it_could_not_read() {
    let mut losses = Losses::default();
    let whole =
        ended(r#""first_ms":900,"took_ms":2000,"bears_ms":250,"outcome":"complete","status":200"#);
    let late =
        ended(r#""first_ms":1900,"took_ms":2000,"bears_ms":250,"outcome":"complete","status":200"#);
    let lines = [
        format!("  34.0180 node-1 {whole}"),
        late.clone(),
        late[..40].to_string(),
        "garbage \u{0}{{{".to_string(),
        String::new(),
        r#"{"msg":"log lines left out","count":12}"#.to_string(),
        r#"{"msg":"not taken in","outcome":"settings-too-old"}"#.to_string(),
        r#"{"msg":"server listed"}"#.to_string(),
    ];
    for line in &lines {
        losses.line(line);
    }
    insta::assert_json_snapshot!(losses.report());
}

/// Nothing was logged, as of a site that nobody has called.
#[test]
fn an_empty_log_is_an_empty_report() {
    assert_eq!(Losses::default().report(), &losses::Report::default());
}
