//! How a program ends.

use std::process::ExitCode;

/// Prints the error of a failed program to standard error and returns the exit code.
///
/// Each cause in the chain takes one line. No place in the code is printed: the reader is an operator.
pub fn report_outcome(outcome: eyre::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for cause in error.chain() {
                eprintln!("{cause}");
            }
            ExitCode::FAILURE
        }
    }
}
