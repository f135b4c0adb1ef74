//! Tests the classification of log lines and the report built from them.

use losses::{Aggregator, Cause, Line};

/// Returns a log line of a request that ended, with `fields` before the fixed ones.
fn ended_line(fields: &str) -> String {
    let fixed = r#""request":"a","route":"draft","server":"e1","target_ms":1000,"limit_ms":6000"#;
    format!(r#"{{"msg":"ended","at_ms":5000,{fields},{fixed}}}"#)
}

/// Guards against a wrong cause for a lost request, which would send an engineer to look for the fault
/// in the wrong place. The table has a log line for each way in which a request is lost.
#[test]
fn each_cause_follows_from_the_logged_fields() {
    let stream = r#""bears_ms":250,"outcome":"complete","status":200"#;
    let table = [
        (r#""first_ms":900,"took_ms":2000,"sent_ms":0,"#, stream, None),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":1300,"sends":1,"#,
            stream,
            Some(Cause::SlotWait),
        ),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":1300,"sends":2,"#,
            stream,
            Some(Cause::EarlierAttempt),
        ),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":0,"reading_ms":900,"backlog_ms":300,"#,
            stream,
            Some(Cause::Prefill),
        ),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":0,"reading_ms":90,"backlog_ms":800,"#,
            stream,
            Some(Cause::PrefillQueue),
        ),
        (
            r#""first_ms":1500,"took_ms":2000,"sent_ms":0,"reading_ms":90,"backlog_ms":20,"#,
            stream,
            Some(Cause::SlowServer),
        ),
        (r#""first_ms":500,"took_ms":2000,"pause_ms":300,"#, stream, Some(Cause::StreamPause)),
        (
            r#""first_ms":500,"took_ms":5990,"#,
            r#""outcome":"broken-off","status":0"#,
            Some(Cause::AnswerTooLong),
        ),
        (
            r#""first_ms":500,"took_ms":900,"#,
            r#""outcome":"broken-off","status":0"#,
            Some(Cause::ServerLost),
        ),
        (r#""took_ms":900,"#, r#""outcome":"unknown","status":502"#, Some(Cause::ServerLost)),
        (
            r#""took_ms":6000,"sent_ms":0,"#,
            r#""outcome":"caller-gone","status":0"#,
            Some(Cause::SlowServer),
        ),
        (r#""took_ms":6000,"#, r#""outcome":"caller-gone","status":0"#, Some(Cause::SlotWait)),
        (r#""took_ms":600,"#, r#""outcome":"caller-gone","status":0"#, Some(Cause::CallerLeft)),
        (r#""took_ms":40,"#, r#""outcome":"complete","status":500"#, Some(Cause::ServerError)),
        (r#""took_ms":40,"#, r#""outcome":"complete","status":404"#, None),
        (r#""took_ms":40,"#, r#""outcome":"no room","status":503"#, Some(Cause::Refused)),
        (
            r#""took_ms":2,"#,
            r#""outcome":"no backend server in its regions may take it","status":503"#,
            Some(Cause::NoRegion),
        ),
    ];
    for (times, rest, cause) in table {
        let text = ended_line(&format!("{times}{rest}"));
        let Some(Line::Ended(request, Some(5_000))) = Line::parse(&text) else { panic!("{text}") };
        assert_eq!(Cause::classify(&request), cause, "{text}");
    }
}

/// Logs of several nodes arrive unordered, some lines truncated and some dropped under load. The
/// report counts the lines that it couldn't parse, so that its reader knows how much is missing.
#[test]
fn a_report_says_what_it_could_not_read() {
    let mut losses = Aggregator::default();
    let in_time = ended_line(
        r#""first_ms":900,"took_ms":2000,"bears_ms":250,"outcome":"complete","status":200"#,
    );
    let late = ended_line(
        r#""first_ms":1900,"took_ms":2000,"bears_ms":250,"outcome":"complete","status":200"#,
    );
    let lines = [
        format!("  34.0180 node-1 {in_time}"),
        late.clone(),
        late[..40].to_string(),
        "garbage \u{0}{{{".to_string(),
        String::new(),
        r#"{"msg":"log lines left out","count":12}"#.to_string(),
        r#"{"msg":"not taken in","outcome":"settings-too-old"}"#.to_string(),
        r#"{"msg":"server listed"}"#.to_string(),
    ];
    for line in &lines {
        losses.add_line(line);
    }
    insta::assert_json_snapshot!(losses.report());
}

/// A deployment that nobody has called yet has empty logs.
#[test]
fn an_empty_log_is_an_empty_report() {
    assert_eq!(Aggregator::default().report(), &losses::Report::default());
}
