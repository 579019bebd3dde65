//! A small installation with its executors, ready for a case.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::callers::{Caller, Ledger};
use crate::configuration::{configuration, configure};
use crate::executor::{Config, Demands, Executor, Runs};
use crate::installation::{HALLS, Installation, Role};
use crate::record::Record;

pub struct Setup {
    pub record: Arc<Record>,
    pub installation: Arc<Installation>,
    pub executors: Vec<Arc<Executor>>,
    pub runs: Arc<Runs>,
    pub caller: Arc<Caller>,
}

impl Setup {
    /// Starts everything and waits until it serves; `None` if it does not begin to.
    pub fn start(
        programs: &Path,
        folder: &Path,
        entries: usize,
        services: &[&str],
        first: &str,
    ) -> std::io::Result<Option<Self>> {
        let record = Arc::new(Record::create(&folder.join("record.txt"))?);
        let guards = services.len();
        let installation = Installation::new(programs, 3, entries, guards, record.clone())?;
        let installation = Arc::new(installation);
        let runs = Arc::new(Runs::default());
        let demands = Arc::new(Demands::default());
        let mut executors = Vec::new();
        for (i, service) in services.iter().enumerate() {
            let config = Config {
                index: i,
                service: (*service).into(),
                labels: vec![
                    if i % 3 == 2 { "b" } else { "a" }.into(),
                    format!("r1-{}", i / 3),
                ],
                zone: HALLS[i % 3].into(),
                address: installation.executor(i),
                registration: installation.interface(Role::Guard(i)),
                cpu: 16_000,
                guards_room: true,
                demands: demands.clone(),
            };
            executors.push(Executor::start(config, runs.clone(), record.clone())?);
        }
        installation.start_all()?;
        let limit = Duration::from_secs(25);
        if !configure(&installation, &record, first, limit) || !installation.wait_ready(limit) {
            record.write("the installation did not begin to serve");
            return Ok(None);
        }
        // Traffic starts some seconds after the machines do, when the executors have registered.
        thread::sleep(Duration::from_secs(4));
        let caller = Arc::new(Caller {
            record: record.clone(),
            ledger: Arc::new(Ledger::default()),
            demands,
        });
        Ok(Some(Self {
            record,
            installation,
            executors,
            runs,
            caller,
        }))
    }
}

impl Drop for Setup {
    /// Threads of the case may still hold the installation, so its own drop doesn't do.
    fn drop(&mut self) {
        self.installation.end();
    }
}

/// The configuration that most cases begin with.
pub fn first_configuration() -> String {
    configuration(1, ["alpha", "alpha", "beta"])
}
