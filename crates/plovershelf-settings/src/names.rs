//! Names in an order, each found without a walk over them.

use std::hash::{BuildHasher, RandomState};
use std::ops::Deref;

use hashbrown::HashTable;

/// Names in their order, each found without a walk over them.
///
/// A walk at each request would cost more with every name in an operator's list. The keys of the hash are
/// random, so that nobody can choose names that collide.
#[derive(Clone, Default)]
pub struct Names {
    names: Vec<String>,
    /// Places in `names`, one for each name that differs.
    places: HashTable<u32>,
    hasher: RandomState,
}

impl Names {
    /// The first place of a name.
    pub fn place(&self, name: &str) -> Option<usize> {
        let is_same = |place: &u32| self.names[*place as usize] == name;
        self.places.find(self.hasher.hash_one(name), is_same).map(|place| *place as usize)
    }
}

impl FromIterator<String> for Names {
    fn from_iter<T: IntoIterator<Item = String>>(names: T) -> Self {
        let mut all = Names { names: names.into_iter().collect(), ..Names::default() };
        all.names.shrink_to_fit();
        all.places.reserve(all.names.len(), |_| 0);
        for (place, name) in all.names.iter().enumerate() {
            let hash_of = |place: &u32| all.hasher.hash_one(&all.names[*place as usize]);
            let is_same = |place: &u32| all.names[*place as usize] == *name;
            all.places.entry(all.hasher.hash_one(name), is_same, hash_of).or_insert(place as u32);
        }
        all
    }
}

impl Deref for Names {
    type Target = [String];

    fn deref(&self) -> &[String] {
        &self.names
    }
}
