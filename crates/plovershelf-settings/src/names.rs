//! Ordered names with hashed lookup.

use std::hash::{BuildHasher, RandomState};
use std::ops::Deref;

use hashbrown::HashTable;

/// Ordered names with hashed lookup.
///
/// A linear search at each request would cost more with every name in an operator's list. The hash is seeded
/// randomly, so that no one can choose names that collide.
#[derive(Clone, Default)]
pub struct Names {
    names: Vec<String>,
    /// Indices into `names`, one for each distinct name.
    indices: HashTable<u32>,
    hasher: RandomState,
}

impl Names {
    /// Returns the first index of a name.
    pub fn place(&self, name: &str) -> Option<usize> {
        let is_same = |index: &u32| self.names[*index as usize] == name;
        self.indices.find(self.hasher.hash_one(name), is_same).map(|index| *index as usize)
    }
}

impl FromIterator<String> for Names {
    fn from_iter<T: IntoIterator<Item = String>>(names: T) -> Self {
        let mut built = Names { names: names.into_iter().collect(), ..Names::default() };
        built.names.shrink_to_fit();
        built.indices.reserve(built.names.len(), |_| 0);
        for (index, name) in built.names.iter().enumerate() {
            let hash_of = |index: &u32| built.hasher.hash_one(&built.names[*index as usize]);
            let is_same = |index: &u32| built.names[*index as usize] == *name;
            built.indices.entry(built.hasher.hash_one(name), is_same, hash_of).or_insert(index as u32);
        }
        built
    }
}

impl Deref for Names {
    type Target = [String];

    fn deref(&self) -> &[String] {
        &self.names
    }
}
