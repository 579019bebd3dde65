//! How a program of ours ends.

use std::process::ExitCode;

/// Prints why a program failed, as one line for each cause and without places in the code, and returns its exit code.
pub fn report_outcome(outcome: eyre::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            for line in cause.chain() {
                eprintln!("{line}");
            }
            ExitCode::FAILURE
        }
    }
}
