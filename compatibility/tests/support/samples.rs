//! Lists of named samples that cover every variant of an enum.

#![allow(dead_code)]

/// The name of a fixture, without its extension, and its value.
pub type Sample<T> = (String, T);

/// Returns a list of one named sample.
pub fn one<T>(name: &str, value: T) -> Vec<Sample<T>> {
    vec![(name.to_owned(), value)]
}

/// Returns a list of named samples.
pub fn several<T, const N: usize>(samples: [(&str, T); N]) -> Vec<Sample<T>> {
    let named = samples.into_iter();
    named
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

/// Wraps the value of each sample with `build` and prefixes its name.
pub fn wrap<T, U>(prefix: &str, samples: Vec<Sample<T>>, build: impl Fn(T) -> U) -> Vec<Sample<U>> {
    let parts = samples.into_iter();
    parts
        .map(|(name, part)| (format!("{prefix}-{name}"), build(part)))
        .collect()
}

/// Checks and returns the samples of one variant.
///
/// # Panics
///
/// If there is no sample, or a sample of another variant.
pub fn samples_of_variant<T>(
    variant: &str,
    samples: Vec<Sample<T>>,
    is_variant: impl Fn(&T) -> bool,
) -> Vec<Sample<T>> {
    assert!(!samples.is_empty(), "{variant} has no sample");
    for (name, value) in &samples {
        assert!(is_variant(value), "{name} is not a sample of {variant}");
    }
    samples
}

/// Lists the samples of every variant of an enum, with one line for each variant.
///
/// The lines also form a `match`, so the test does not compile until a new variant has a line. A line without samples, or with a sample
/// of another variant, panics.
macro_rules! each_variant {
    ($type:ty { $($variant:pat => $samples:expr,)+ }) => {{
        let _cover_all = |value: &$type| match value {
            $($variant => (),)+
        };
        let mut all: Vec<$crate::samples::Sample<$type>> = Vec::new();
        $(all.extend($crate::samples::samples_of_variant(
            stringify!($variant),
            $samples,
            |value: &$type| matches!(value, $variant),
        ));)+
        all
    }};
}

pub(crate) use each_variant;
