//! Crowds of clients that hold memory or connections of one process without making progress.
//!
//! Each test starts one process of each role and checks only what does not depend on the speed of the machine: the processes live, stay
//! within the memory and descriptors of their boxes, and serve an ordinary job while the crowd stands and after it has left. The tests run
//! one at a time.

#![allow(clippy::unwrap_used)]

mod crowd;
mod installation;
#[path = "../programs/mod.rs"]
mod programs;
mod shapes;

use crowd::Crowd;
use installation::{Installation, Limits, Role};
use shapes::{
    chunks, idle, kept_job_of_many_tasks, large_frame_before_hello, links_that_never_greet,
    long_header, many_tasks, pieces, steps_without_tasks, unfinished, unread_configuration,
    whole_body,
};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// Bytes of framing that a chunked body of one-byte chunks leaves room for, as a number of chunks.
const ONE_BYTE_CHUNKS: usize = 240_000;
/// Descriptors of each process in the tests of connections; their crowd is larger.
const FEW_DESCRIPTORS: usize = 512;
/// Connections of a crowd that wants all [`FEW_DESCRIPTORS`].
const MANY_CONNECTIONS: usize = 700;
/// Most descriptors that a crowd at a listener for checks may take, of those of a box.
const DESCRIPTORS_FOR_CHECKS: usize = 512;

fn few_descriptors_for_checks() -> Limits {
    Limits {
        open_descriptors: DESCRIPTORS_FOR_CHECKS,
        ..Limits::default()
    }
}

fn large_bodies() -> Limits {
    Limits {
        body_bytes: MIB,
        ..Limits::default()
    }
}

/// Lets a crowd stand at a process, and checks the promises while it stands and after it has left.
fn check_crowd(installation: &Installation, role: Role, crowd: Crowd) {
    installation.wait_until_read(role);

    installation.check_bounds(role);
    installation.serve_ordinary_job();
    installation.check_bounds(role);
    drop(crowd);
    installation.serve_ordinary_job();
    installation.check_bounds(role);
    installation.check_ready();
}

/// Fails if an entry holds all bodies that stop before their last byte.
#[test]
fn whole_bodies_that_stop_before_their_end() {
    let installation = Installation::start(large_bodies());

    let crowd = Crowd::send(installation.clients(), 240, |_| whole_body(MIB));

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if an entry holds all bodies that come in pieces and stop before their last byte.
#[test]
fn bodies_in_pieces_that_stop_before_their_end() {
    let installation = Installation::start(large_bodies());

    let crowd = Crowd::send(installation.clients(), 240, |_| pieces(MIB, 8 * KIB));

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if an entry holds all chunked bodies without a last chunk.
#[test]
fn large_chunks_without_a_last_one() {
    let installation = Installation::start(large_bodies());

    let crowd = Crowd::send(installation.clients(), 240, |_| chunks(32 * KIB, 31));

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if a chunk costs an entry far more than its bytes.
#[test]
fn one_byte_chunks_without_a_last_one() {
    let installation = Installation::start(Limits::default());

    let crowd = Crowd::send(installation.clients(), 100, |_| chunks(1, ONE_BYTE_CHUNKS));

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if an entry holds all headers without an end.
#[test]
fn headers_without_an_end() {
    let limits = Limits {
        header_bytes: 256 * KIB,
        ..Limits::default()
    };
    let installation = Installation::start(limits);

    let crowd = Crowd::send(installation.clients(), 700, |_| long_header(240 * KIB));

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if the open jobs of an entry are bounded by their number of tasks only one by one. No task of a refused job may run.
#[test]
fn open_jobs_of_many_tasks() {
    let installation = Installation::start(Limits::default());

    let crowd = Crowd::send(installation.clients(), 24, many_tasks);

    installation.wait_until_read(Role::Entry);
    installation.check_bounds(Role::Entry);
    installation.check_refused_jobs(&crowd.read_statuses());
    installation.serve_ordinary_job();
    installation.check_bounds(Role::Entry);
}

/// Fails if the kept jobs that an entry drives are bounded by their number of tasks only one by one.
#[test]
fn kept_jobs_of_many_tasks() {
    let installation = Installation::start(Limits::default());
    installation.serve_kept_job();

    let crowd = Crowd::send(installation.clients(), 24, kept_job_of_many_tasks);

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if a step costs an entry far more than its bytes while its job is open.
#[test]
fn open_jobs_of_steps_without_tasks() {
    let installation = Installation::start(large_bodies());

    let crowd = Crowd::send(installation.clients(), 24, |index| {
        steps_without_tasks(index, 300_000)
    });

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if connections without a request take all descriptors of an entry.
#[test]
fn idle_connections_of_callers() {
    let installation = Installation::start(Limits::for_connections(FEW_DESCRIPTORS));

    let crowd = Crowd::send(installation.clients(), MANY_CONNECTIONS, |_| idle());

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if connections whose request has begun take all descriptors of an entry.
#[test]
fn begun_requests_of_callers() {
    let installation = Installation::start(Limits::for_connections(FEW_DESCRIPTORS));

    let crowd = Crowd::send(installation.clients(), MANY_CONNECTIONS, |_| unfinished());

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if connections to the readiness check are not bounded.
#[test]
fn idle_connections_to_the_readiness_check() {
    let installation = Installation::start(few_descriptors_for_checks());

    let crowd = Crowd::repeat(installation.readiness(), MANY_CONNECTIONS, |_| idle());

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if connections to the metrics are not bounded.
#[test]
fn idle_connections_to_the_metrics() {
    let installation = Installation::start(few_descriptors_for_checks());

    let crowd = Crowd::repeat(installation.metrics(Role::Entry), MANY_CONNECTIONS, |_| {
        idle()
    });

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if links without a hello take all descriptors of an entry.
#[test]
fn links_to_an_entry_without_a_hello() {
    let installation = Installation::start(Limits::for_connections(FEW_DESCRIPTORS));

    let crowd = Crowd::repeat(installation.peers(Role::Entry), MANY_CONNECTIONS, |_| {
        links_that_never_greet()
    });

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if a process holds a large frame of every link that has not identified itself: an entry.
#[test]
fn large_frames_before_the_hello_at_an_entry() {
    let installation = Installation::start(Limits::default());

    let crowd = Crowd::send(installation.peers(Role::Entry), 40, |_| {
        large_frame_before_hello()
    });

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if a process holds a large frame of every link that has not identified itself: a guard.
#[test]
fn large_frames_before_the_hello_at_a_guard() {
    let installation = Installation::start(Limits::default());

    let crowd = Crowd::send(installation.peers(Role::Guard), 40, |_| {
        large_frame_before_hello()
    });

    check_crowd(&installation, Role::Guard, crowd);
}

/// Fails if a process holds a large frame of every link that has not identified itself: a control process.
#[test]
fn large_frames_before_the_hello_at_a_control_process() {
    let installation = Installation::start(Limits::default());

    let crowd = Crowd::send(installation.peers(Role::Control), 80, |_| {
        large_frame_before_hello()
    });

    check_crowd(&installation, Role::Control, crowd);
}

/// Fails if a guard holds all bodies at its registration address that stop before their last byte.
#[test]
fn registrations_that_stop_before_their_end() {
    let installation = Installation::start(Limits::default());

    let crowd = Crowd::send(installation.service(Role::Guard), 160, |_| whole_body(MIB));

    check_crowd(&installation, Role::Guard, crowd);
}

/// Fails if a control process holds all configurations that stop before their last byte.
#[test]
fn configurations_that_stop_before_their_end() {
    let installation = Installation::start(Limits::default());

    let crowd = Crowd::send(installation.service(Role::Control), 80, |_| {
        whole_body(7 * MIB - 64 * KIB)
    });

    check_crowd(&installation, Role::Control, crowd);
}

/// Fails if a control process holds an answer for every client that does not read it.
#[test]
fn configurations_that_nobody_reads() {
    let installation = Installation::start(Limits::default());
    installation.put_large_configuration(6 * MIB);

    let crowd = Crowd::send(installation.service(Role::Control), 100, |_| {
        unread_configuration()
    });

    check_crowd(&installation, Role::Control, crowd);
}

/// Fails if clients that connect again as soon as they are closed keep others from being served, or add up.
#[test]
fn bodies_of_clients_that_come_back() {
    let installation = Installation::start(large_bodies());

    let crowd = Crowd::repeat(installation.clients(), 240, |_| whole_body(MIB));

    check_crowd(&installation, Role::Entry, crowd);
}

/// Fails if an operator cannot see that a limit acts, or if the log grows with the crowd.
#[test]
fn a_limit_that_acts_is_logged_and_counted() {
    let installation = Installation::start(large_bodies());

    let crowd = Crowd::send(installation.clients(), 240, |_| whole_body(MIB));

    let line = installation.wait_for_limit_line(Role::Entry);
    assert!(line.to_string().contains("client_address"), "{line}");
    installation.wait_until_read(Role::Entry);
    assert!(installation.read_metric(Role::Entry, "client_bytes") <= (40 * MIB) as u64);
    let count = |effect: &str| {
        let name = format!(r#"connection_limits{{cause="{effect}"}}"#);
        installation.read_metric(Role::Entry, &name)
    };
    // At most 40 of the 240 bodies fit.
    assert!(count("client_closed") + count("memory_refused") >= 200);
    assert!(installation.count_limit_lines(Role::Entry) < 30);
    drop(crowd);
}
