//! Values that the plugins of a process share, keyed by type.

use std::any::{Any, TypeId};
use std::collections::HashMap;
use std::sync::Arc;

/// At most one shared value of each type.
#[derive(Clone, Default)]
pub(crate) struct Resources {
    values: HashMap<TypeId, Arc<dyn Any + Send + Sync>>,
}

impl Resources {
    /// Adds a value, which replaces an earlier one of the same type.
    pub(crate) fn insert<T: Send + Sync + 'static>(&mut self, value: Arc<T>) {
        self.values.insert(TypeId::of::<T>(), value);
    }

    pub(crate) fn get<T: Send + Sync + 'static>(&self) -> Option<Arc<T>> {
        let value = self.values.get(&TypeId::of::<T>())?;
        value.clone().downcast::<T>().ok()
    }
}
