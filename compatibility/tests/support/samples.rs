//! Lists of named samples that cover every variant of an enum.

#![allow(dead_code)]

/// The name of a fixture, without its extension, and the value in it.
pub type Sample<T> = (String, T);

/// Names one sample.
pub fn one<T>(name: &str, value: T) -> Vec<Sample<T>> {
    vec![(name.to_owned(), value)]
}

/// Names some samples.
pub fn several<T, const N: usize>(samples: [(&str, T); N]) -> Vec<Sample<T>> {
    let named = samples.into_iter();
    named
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

/// Builds a larger value around each sample; the name gets a word in front.
pub fn wrap<T, U>(word: &str, samples: Vec<Sample<T>>, build: impl Fn(T) -> U) -> Vec<Sample<U>> {
    let parts = samples.into_iter();
    parts
        .map(|(name, part)| (format!("{word}-{name}"), build(part)))
        .collect()
}

/// Returns the samples of one variant.
///
/// # Panics
///
/// If there is none, or one of another variant.
pub fn samples_of_variant<T>(
    variant: &str,
    samples: Vec<Sample<T>>,
    is_variant: impl Fn(&T) -> bool,
) -> Vec<Sample<T>> {
    assert!(!samples.is_empty(), "{variant} has no sample");
    for (name, value) in &samples {
        assert!(is_variant(value), "{name} is no sample of {variant}");
    }
    samples
}

/// Lists the samples of every variant of an enum, one line a variant.
///
/// The lines also make up a match, so a new variant stops the test from compiling until it has a line; and a line whose
/// samples are of another variant, or none, stops the test.
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
