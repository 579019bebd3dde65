//! Submits jobs and checks their answers.

use cloverfold_claims_core::{Cell, derive_submission_key};
use cloverfold_load::{JobAnswer, LoadError};
use cloverfold_target::{Journal, SampleTarget};

use crate::checker::{JobRecord, find_violations};

use super::Cluster;
use super::job::TestJob;
use super::readiness::wait_until;

impl Cluster {
    /// Returns the indices of the guards that hold a job's key, in order of preference.
    pub fn replica_group_of(&self, job: &TestJob) -> Vec<usize> {
        let key = derive_submission_key(&self.caller.workspace, &job.name);
        let cell: Cell = self.cell.build_cell();
        let group = cell.choose_replica_group(&key);
        group.iter().map(|id| usize::from(*id) - 1).collect()
    }

    /// Finds a job name whose preferred guard is the given one.
    pub fn find_job_name_for(&self, preferred: usize, prefix: &str) -> String {
        let names = (0..).map(|number| format!("{prefix}-{number}"));
        let mut names =
            names.filter(|name| self.replica_group_of(&TestJob::new(name, 1, 1))[0] == preferred);
        names.next().unwrap()
    }

    /// Submits a job and records the answer for the checker.
    pub async fn submit(&self, entry: usize, job: &TestJob) -> Result<JobAnswer, LoadError> {
        self.record_job(job);
        let answer = self
            .client
            .submit(
                self.entry_http_addresses[entry],
                &self.caller,
                &job.request(),
            )
            .await;
        if let Ok(answer) = &answer {
            let mut records = self.records.lock().unwrap();
            let record = records.iter_mut().find(|record| record.job == job.name);
            record.unwrap().answers.push(answer.clone());
        }
        answer
    }

    /// Submits a job, disrupts the cluster once this many tasks have started, and returns the answer.
    pub async fn submit_with_disruption(
        &self,
        job: &TestJob,
        starts: usize,
        disrupt: impl FnOnce(),
    ) -> JobAnswer {
        let request = self.submit(0, job);
        tokio::pin!(request);
        tokio::select! {
            _ = &mut request => panic!("the job ended before the disruption"),
            () = self.wait_for_starts(starts) => {}
        }
        disrupt();
        request.await.unwrap()
    }

    fn record_job(&self, job: &TestJob) {
        let mut records = self.records.lock().unwrap();
        if !records.iter().any(|record| record.job == job.name) {
            records.push(JobRecord {
                job: job.name.clone(),
                tasks: job.tasks,
                is_repeatable: job.repeat == Some("allowed"),
                answers: Vec::new(),
            });
        }
    }

    pub fn journals(&self) -> Vec<&Journal> {
        self.targets.iter().map(SampleTarget::journal).collect()
    }

    pub fn count_starts(&self) -> usize {
        self.journals()
            .iter()
            .map(|journal| journal.count_starts())
            .sum()
    }

    pub async fn wait_for_starts(&self, count: usize) {
        wait_until("tasks start", async || self.count_starts() >= count).await;
    }

    /// Fails the test if the checker finds a violation.
    pub fn assert_no_violations(&self) {
        let violations = find_violations(&self.records.lock().unwrap(), &self.journals());
        assert!(violations.is_empty(), "{violations:#?}");
    }
}
