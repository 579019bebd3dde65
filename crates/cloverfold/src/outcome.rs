//! Turns the result of a program into an exit code and prints its error for the operator.

use std::process::ExitCode;

/// Prints the error of a failed program to standard error and returns the exit code.
///
/// Each cause in the chain takes one line. The output has no source locations, since the reader is an operator.
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
