//! Control processes with full disks, simulated by a limit on the file size.

#![allow(clippy::unwrap_used)]

#[path = "../../../platform/tests/stand_ins/group_client.rs"]
#[allow(dead_code)]
mod group_client;
mod programs;

use std::path::Path;

use cloverfold_kept_jobs::{CallRefusal, JobCall, JobPhase, JobReply, SubmitOutcome};
use group_client::{GroupClient, submission};
use programs::addresses::BOXES;
use programs::{Addresses, CLOVERFOLD, Program};

/// Starts a control process with a file size limit of 512 or 1,024 KiB, depending on the shell's unit. Ignores SIGXFSZ so that a write beyond
/// the limit fails instead of ending the process.
const START_WITH_FILE_SIZE_LIMIT: &str = r#"trap "" XFSZ; ulimit -f 1024; exec "$0" control "$1""#;
const GROUP: u32 = 0;
/// Body of a job; a few hundred of them fill the disk.
const BODY: [u8; 8_000] = [7; 8_000];

fn start(folder: &Path, addresses: &Addresses, index: usize, is_limited: bool) -> Program {
    let peer = addresses.peer_settings(&format!("control-{index}"), index, &[0, 1, 2]);
    let operator = addresses.address(index, 1);
    let data = folder.join(format!("data-{index}"));
    let data = data.display();
    let text = format!(
        r#"{{ {peer}, "operator_address": "{operator}", "data_folder": "{data}", "may_found": true, "tolerated_losses": 1 }}"#
    );
    let file = folder.join(format!("control-{index}.jsonc"));
    std::fs::write(&file, text).unwrap();
    if is_limited {
        Program::start("sh", &["-c", START_WITH_FILE_SIZE_LIMIT, CLOVERFOLD], &file)
    } else {
        Program::start(CLOVERFOLD, &["control"], &file)
    }
}

/// Submits jobs until the group refuses three of them for its disks; returns the IDs of the accepted and of the refused jobs.
async fn fill_disks(client: &mut GroupClient) -> (Vec<String>, Vec<String>) {
    let mut accepted = Vec::new();
    let mut refused = Vec::new();
    let mut number = 0;
    while refused.len() < 3 {
        assert!(number < 10_000, "the disks do not fill up");
        number += 1;
        let id = format!("job-{number}");
        let call = JobCall::Submit(submission(&id, 1, &BODY));
        match client.try_call(GROUP, call).await {
            Some(JobReply::Submitted(SubmitOutcome::Accepted(_) | SubmitOutcome::Known)) => {
                accepted.push(id);
            }
            Some(JobReply::Refused(CallRefusal::Disk)) => refused.push(id),
            // Without a reply the outcome is unknown; at first there is no leader.
            None | Some(JobReply::Refused(CallRefusal::NoLeader)) => {}
            reply => panic!("{reply:?}"),
        }
    }
    (accepted, refused)
}

async fn show_phase(client: &mut GroupClient, id: &str) -> JobReply {
    client.call(GROUP, JobCall::Show(id.into())).await
}

#[tokio::test]
async fn full_disks_refuse_new_jobs_and_lose_no_accepted_job() {
    let folder = tempfile::tempdir().unwrap();
    let addresses = Addresses::for_block(140);
    let limited: Vec<Program> = (0..BOXES)
        .map(|index| start(folder.path(), &addresses, index, true))
        .collect();
    let mut client = GroupClient::connect("caller", addresses.address(0, 0));

    let (accepted, refused) = fill_disks(&mut client).await;
    let queued = JobReply::Shown(Some(JobPhase::Queued));
    assert!(!accepted.is_empty());
    assert_eq!(show_phase(&mut client, &accepted[0]).await, queued);
    drop(limited);
    let _running: Vec<Program> = (0..BOXES)
        .map(|index| start(folder.path(), &addresses, index, false))
        .collect();

    for id in &accepted {
        assert_eq!(
            show_phase(&mut client, id).await,
            queued,
            "{id} was accepted"
        );
    }
    for id in &refused {
        let unknown = JobReply::Shown(None);
        assert_eq!(
            show_phase(&mut client, id).await,
            unknown,
            "{id} was refused"
        );
    }
    let again = JobCall::Submit(submission(&refused[0], 1, &BODY));
    assert!(matches!(
        client.call(GROUP, again).await,
        JobReply::Submitted(SubmitOutcome::Accepted(1) | SubmitOutcome::Known)
    ));
}
