//! Submitting jobs, and checking what became of them.

use cloverfold_claims_core::{Cell, derive_submission_key};
use cloverfold_load::{JobAnswer, LoadError};
use cloverfold_target::{Journal, SampleTarget};

use crate::checker::{JobRecord, find_broken_promises};

use super::Cluster;
use super::job::TestJob;
use super::readiness::wait_until;

impl Cluster {
    /// Returns the guards that hold a job's key, first choice first, counted from 0.
    pub fn group_of(&self, job: &TestJob) -> Vec<usize> {
        let key = derive_submission_key(&self.caller.workspace, &job.name);
        let cell: Cell = self.cell.build_cell();
        let group = cell.choose_replica_group(&key);
        group.iter().map(|id| usize::from(*id) - 1).collect()
    }

    /// Finds a job name whose first choice is a given guard.
    pub fn name_job_for(&self, first: usize, prefix: &str) -> String {
        let names = (0..).map(|number| format!("{prefix}-{number}"));
        let mut names = names.filter(|name| self.group_of(&TestJob::new(name, 1, 1))[0] == first);
        names.next().unwrap()
    }

    /// Submits a job and notes the answer for the checker.
    pub async fn submit(&self, entry: usize, job: &TestJob) -> Result<JobAnswer, LoadError> {
        self.note_job(job);
        let answer = self
            .client
            .submit(self.entry_https[entry], &self.caller, &job.request())
            .await;
        if let Ok(answer) = &answer {
            let mut records = self.records.lock().unwrap();
            let record = records.iter_mut().find(|one| one.job == job.name);
            record.unwrap().answers.push(answer.clone());
        }
        answer
    }

    /// Submits a job, does something to the system once so many tasks have started, and returns the answer.
    pub async fn submit_disturbed(
        &self,
        job: &TestJob,
        starts: usize,
        disturb: impl FnOnce(),
    ) -> JobAnswer {
        let request = self.submit(0, job);
        tokio::pin!(request);
        tokio::select! {
            _ = &mut request => panic!("the job ended before anything was done"),
            () = self.wait_starts(starts) => {}
        }
        disturb();
        request.await.unwrap()
    }

    fn note_job(&self, job: &TestJob) {
        let mut records = self.records.lock().unwrap();
        if !records.iter().any(|one| one.job == job.name) {
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
        self.journals().iter().map(|one| one.count_starts()).sum()
    }

    pub async fn wait_starts(&self, count: usize) {
        wait_until("tasks start", async || self.count_starts() >= count).await;
    }

    /// Fails the test when any promise was broken.
    pub fn check_promises(&self) {
        let broken = find_broken_promises(&self.records.lock().unwrap(), &self.journals());
        assert!(broken.is_empty(), "{broken:#?}");
    }
}
