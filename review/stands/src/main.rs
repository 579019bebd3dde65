//! Stand-ins and checks for the cases of the second review. `review/build-2.sh` builds it, `review/N/run.sh` starts it.

mod balancer;
mod callers;
mod cancelled;
mod configuration;
mod executor;
mod handed_over;
mod http;
mod installation;
mod json;
mod moved;
mod poison;
mod random;
mod record;
mod setup;
mod two_queues;

use std::path::Path;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = words.as_slice() else {
        eprintln!("which case, and in which folder?");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (programs, folder) = (Path::new("target/release"), Path::new(folder));
    let outcome = match case.as_str() {
        "cancelled" => cancelled::play(programs, folder, trouble),
        "handed-over" => handed_over::play(programs, folder, trouble),
        "moved" => moved::play(programs, folder, trouble),
        "two-queues" => two_queues::play(programs, folder, trouble),
        "poison" => poison::play(programs, folder, trouble),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    };
    match outcome {
        Ok(code) => std::process::exit(code),
        Err(cause) => {
            eprintln!("cannot run: {cause}");
            std::process::exit(2);
        }
    }
}
