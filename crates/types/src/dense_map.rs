//! A map from dense integer IDs to values, stored as a vector.
//!
//! A lookup costs one bounds check. The slot of a removed value stays empty, because IDs are never
//! reused.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::WorkerId;

/// A key that converts to and from an index into a vector.
pub trait DenseKey: Copy {
    /// The number of the ID, which is the index of its slot in the vector.
    fn index(self) -> usize;
    /// The key whose [`index`](DenseKey::index) is `index`.
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
    /// Creates an empty map.
    pub fn new() -> DenseMap<K, V> {
        DenseMap::default()
    }

    /// The value of `key`; `None` if it was never inserted or was removed.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key.index())?.as_ref()
    }

    /// The value of `key`, mutably.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index())?.as_mut()
    }

    /// Whether `key` has a value.
    pub fn contains(&self, key: K) -> bool {
        self.get(key).is_some()
    }

    /// Sets the value of `key` and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        if self.slots.len() <= key.index() {
            self.slots.resize_with(key.index() + 1, || None);
        }
        self.slots[key.index()].replace(value)
    }

    /// Removes the value of `key` and returns it.
    pub fn remove(&mut self, key: K) -> Option<V> {
        self.slots.get_mut(key.index())?.take()
    }

    /// The keys and their values in ascending order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, slot)| slot.as_ref().map(|value| (K::from_index(index), value)))
    }

    /// The keys and their values, mutably, in ascending order of the keys.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(index, slot)| slot.as_mut().map(|value| (K::from_index(index), value)))
    }

    /// The values in ascending order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.slots.iter().flatten()
    }

    /// The number of values. Takes time linear in the highest key.
    pub fn count(&self) -> usize {
        self.values().count()
    }

    /// The key after the highest one that was ever inserted.
    pub fn end(&self) -> K {
        K::from_index(self.slots.len())
    }
}

impl<K: DenseKey + fmt::Debug, V: fmt::Debug> fmt::Debug for DenseMap<K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}
