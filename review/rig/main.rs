//! Runs the cases of the review that are scripts: `rig CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0`, the disruption is
//! left out.

mod cases;
mod net;
mod runner;
mod site;
mod store;

/// Ends the run as one that couldn't be made.
fn give_up(cause: &str) -> ! {
    eprintln!("the case can't run: {cause}");
    std::process::exit(2);
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else { give_up("usage: rig CASE RECORD") };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = site::Record::create(record);
    let broken = match case.as_str() {
        "repeated-refusal" => cases::repeated_refusal(trouble, &record),
        "circle" => cases::circle(trouble, &record),
        "endless-keep-alive" => cases::endless_keep_alive(trouble, &record),
        "last-tenant" => cases::last_tenant(trouble, &record),
        _ => give_up("there is no such case"),
    };
    record.line(if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(broken.into());
}
