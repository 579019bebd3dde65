//! Reports how a program ended: the exit code and the error for its operator.
//!
//! Used by both programs as their last step. Owns no state. Relies on each error's text to be readable without the code.

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
