//! A map from a dense index newtype to values, stored as a vector.
//!
//! Lookups cost one bounds check; removed slots stay empty because ids are never reused.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::WorkerId;

/// A key that converts to and from a position.
pub trait DenseKey: Copy {
    /// The position of this key.
    fn index(self) -> usize;
    /// The key at `index`.
    fn from_index(index: usize) -> Self;
}

macro_rules! dense_key {
    ($($name:ident),*) => {$(
        impl DenseKey for $name {
            fn index(self) -> usize {
                self.0 as usize
            }

            fn from_index(index: usize) -> $name {
                $name(index as u32)
            }
        }
    )*};
}

dense_key!(WorkerId, TaskId, JobId);

/// A map with keys that are small, dense integers.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DenseMap<K, V> {
    slots: Vec<Option<V>>,
    #[serde(skip)]
    key: PhantomData<K>,
}

impl<K, V> Default for DenseMap<K, V> {
    fn default() -> DenseMap<K, V> {
        DenseMap {
            slots: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: DenseKey, V> DenseMap<K, V> {
    /// An empty map.
    pub fn new() -> DenseMap<K, V> {
        DenseMap::default()
    }

    /// The value under `key`.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key.index())?.as_ref()
    }

    /// The value under `key`, for changes.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index())?.as_mut()
    }

    /// Whether a value stands under `key`.
    pub fn contains(&self, key: K) -> bool {
        self.get(key).is_some()
    }

    /// Puts `value` under `key` and returns the value that stood there.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        if self.slots.len() <= key.index() {
            self.slots.resize_with(key.index() + 1, || None);
        }
        self.slots[key.index()].replace(value)
    }

    /// Takes the value under `key` out.
    pub fn remove(&mut self, key: K) -> Option<V> {
        self.slots.get_mut(key.index())?.take()
    }

    /// The keys and values in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, slot)| slot.as_ref().map(|value| (K::from_index(index), value)))
    }

    /// The keys and values in the order of the keys, for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(index, slot)| slot.as_mut().map(|value| (K::from_index(index), value)))
    }

    /// The values in the order of the keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.slots.iter().flatten()
    }

    /// The number of values; costs one pass.
    pub fn count(&self) -> usize {
        self.values().count()
    }

    /// One past the highest key that was ever used.
    pub fn end(&self) -> K {
        K::from_index(self.slots.len())
    }
}

impl<K: DenseKey + fmt::Debug, V: fmt::Debug> fmt::Debug for DenseMap<K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}
