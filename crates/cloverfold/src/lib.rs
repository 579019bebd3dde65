//! What the programs `cloverfold` and `cloverfold-guard` share.

mod outcome;

pub use outcome::report_outcome;
