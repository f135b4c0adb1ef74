use super::*;

const OLD: Incarnation = Incarnation { salt: 7, start: 1 };
const NEW: Incarnation = Incarnation { salt: 7, start: 2 };
const SECOND: Duration = Duration::from_secs(1);

/// Guards against a notice of a former start that takes its successor out.
#[test]
fn a_notice_ends_with_a_new_start_that_cannot_be_its_author() {
    let (mut notices, now) = (Notices::default(), Instant::now());
    notices.update(OLD, now).leaving = Some(Leaving::new(now));
    notices.list_confirmed = Some(now + REGISTRATION_TIME);
    notices.apply_listing(OLD);
    assert_eq!(notices.leaving_since(OLD), Some(now));
    notices.apply_listing(NEW);
    assert_eq!((notices.leaving_since(OLD), notices.leaving_since(NEW)), (None, None));
}

/// Guards against a new start that has said that it leaves before its entry came, and is used since the notice is taken
/// for the former one's.
#[test]
fn a_notice_passes_to_a_new_start_that_may_be_its_author() {
    let (mut notices, now) = (Notices::default(), Instant::now());
    notices.list_confirmed = Some(now + SECOND);
    notices.update(OLD, now).leaving = Some(Leaving::new(now));
    notices.update(OLD, now + SECOND);
    notices.apply_listing(NEW);
    assert_eq!(notices.leaving_since(NEW), Some(now), "it is asked before it is used");
    let next_check = notices.get(NEW).and_then(|notice| Some(notice.leaving?.next_check));
    assert!(next_check.is_some_and(|at| at <= now + SECOND), "at once");
}

/// Guards against a list of notices that grows with all servers that there ever were.
#[test]
fn notices_of_servers_that_are_gone_are_bounded() {
    let (mut scheduler, now) = (Scheduler::with_seed(1), Instant::now());
    let count = 4 * MAX_UNLISTED as u64;
    for salt in 0..count {
        let at = now + Duration::from_millis(salt);
        assert!(scheduler.record_leaving(Incarnation { salt, start: 0 }, at));
    }
    assert!(scheduler.notices.by_server.len() <= MAX_UNLISTED);
    let newest = Incarnation { salt: count - 1, start: 0 };
    assert!(scheduler.leaving_since(newest).is_some());
}
