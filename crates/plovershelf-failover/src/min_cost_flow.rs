//! What does not fit near: the most that can be carried, at the least cost.
//!
//! The transportation problem, solved exactly by successive shortest augmenting paths with potentials (Edmonds and Karp), in
//! whole units, so that the same input gives the same plan on every machine. Greedy filling of the nearest first carries less
//! or by longer paths; a property test compares the two.

/// What each origin sends to each target, in units: a row an origin.
pub type Flows = Vec<Vec<u64>>;

/// The cost between an origin and a target without a path.
pub const UNREACHABLE: f64 = f64::INFINITY;
/// A path below this cost is its origin's own: no other origin may have one to the same target.
pub const OWN_PATH_COST: f64 = 0.01;
/// Potentials that differ by less are equal.
const TOLERANCE: f64 = 1e-9;

/// Carries as much of `supply` as `capacity` takes, at the least sum of units times `cost` (a row an origin). `stages` of
/// origins are carried one after the other: a later one never takes from what an earlier one carries, though it may redirect it.
pub fn min_cost_flow(supply: &[u64], stages: &[Vec<usize>], capacity: &[u64], cost: &[Vec<f64>]) -> Flows {
    let mut network = Network {
        cost,
        unsent: vec![0; supply.len()],
        free: capacity.to_vec(),
        flows: vec![vec![0; capacity.len()]; supply.len()],
    };
    for stage in stages {
        stage.iter().for_each(|origin| network.unsent[*origin] = supply[*origin]);
        stage.iter().for_each(|origin| network.send_by_own_paths(*origin));
        let mut potentials = network.potentials();
        while let Some(path) = network.shortest_path(&mut potentials) {
            network.augment(&path);
        }
    }
    network.flows
}

/// One hop of an augmenting path. Between two hops the earlier one's target gives back what the later one's origin had sent it.
#[derive(Clone, Copy)]
struct Hop {
    origin: usize,
    target: usize,
}

/// Distances from the origins with unsent units, flows back counted as what they save. With these no reduced cost is negative,
/// so Dijkstra's algorithm finds the shortest path.
struct Potentials {
    origins: Vec<f64>,
    targets: Vec<f64>,
}

struct Network<'a> {
    cost: &'a [Vec<f64>],
    unsent: Vec<u64>,
    free: Vec<u64>,
    flows: Flows,
}

impl Network<'_> {
    /// What costs next to nothing is nobody else's shorter path, so it needs no search.
    fn send_by_own_paths(&mut self, origin: usize) {
        let cost = &self.cost[origin];
        let mut own: Vec<usize> = (0..self.free.len()).filter(|to| cost[*to] < OWN_PATH_COST).collect();
        own.sort_by(|a, b| cost[*a].total_cmp(&cost[*b]));
        for target in own {
            let units = self.unsent[origin].min(self.free[target]);
            self.flows[origin][target] += units;
            self.free[target] -= units;
            self.unsent[origin] -= units;
        }
    }

    /// Sends as much as the end has free, the beginning has unsent, and each hop back has to give.
    fn augment(&mut self, path: &[Hop]) {
        let (first, last) = (path[0].origin, path[path.len() - 1].target);
        let given_back = path.windows(2).map(|pair| self.flows[pair[1].origin][pair[0].target]);
        let units = given_back.fold(self.unsent[first].min(self.free[last]), u64::min);
        for (place, hop) in path.iter().enumerate() {
            self.flows[hop.origin][hop.target] += units;
            if let Some(next) = path.get(place + 1) {
                self.flows[next.origin][hop.target] -= units;
            }
        }
        self.unsent[first] -= units;
        self.free[last] -= units;
    }

    /// The first potentials of a stage (Bellman-Ford).
    fn potentials(&self) -> Potentials {
        let start = |unsent: &u64| if *unsent > 0 { 0.0 } else { UNREACHABLE };
        let mut potentials = Potentials {
            origins: self.unsent.iter().map(start).collect(),
            targets: vec![UNREACHABLE; self.free.len()],
        };
        loop {
            let is_forward_changed = self.relax_forward(&mut potentials);
            let is_backward_changed = self.relax_backward(&mut potentials);
            if !is_forward_changed && !is_backward_changed {
                return potentials;
            }
        }
    }

    fn relax_forward(&self, potentials: &mut Potentials) -> bool {
        let mut is_changed = false;
        for (costs, from) in self.cost.iter().zip(&potentials.origins).filter(|(_, from)| from.is_finite()) {
            for (to, cost) in potentials.targets.iter_mut().zip(costs) {
                if from + cost < *to - TOLERANCE {
                    (*to, is_changed) = (from + cost, true);
                }
            }
        }
        is_changed
    }

    fn relax_backward(&self, potentials: &mut Potentials) -> bool {
        let mut is_changed = false;
        for (origin, row) in self.flows.iter().enumerate() {
            for (target, _) in row.iter().enumerate().filter(|(_, units)| **units > 0) {
                let distance = potentials.targets[target] - self.cost[origin][target];
                if distance < potentials.origins[origin] - TOLERANCE {
                    (potentials.origins[origin], is_changed) = (distance, true);
                }
            }
        }
        is_changed
    }

    /// The shortest path from an origin with unsent units to a target that has some free.
    fn shortest_path(&self, potentials: &mut Potentials) -> Option<Vec<Hop>> {
        let mut search = PathSearch::new(self, potentials);
        while let Some(node) = search.nearest_unsettled() {
            match node {
                Node::Origin(origin) => search.settle_origin(origin, self, potentials),
                Node::Target(target) => search.settle_target(target, self, potentials),
            }
        }
        search.update(potentials);
        // By true costs now: the nearest with something free.
        let is_open = |to: &usize| self.free[*to] > 0 && search.targets.distance[*to].is_finite();
        let nearest = |a: &usize, b: &usize| potentials.targets[*a].total_cmp(&potentials.targets[*b]);
        let target = (0..self.free.len()).filter(is_open).min_by(nearest)?;
        search.path_to(target)
    }
}

enum Node {
    Origin(usize),
    Target(usize),
}

/// One side of the search: by node its distance, whether that is final, and the node before it on the other side.
struct Side {
    distance: Vec<f64>,
    is_settled: Vec<bool>,
    previous: Vec<Option<usize>>,
}

impl Side {
    fn new(distance: Vec<f64>) -> Self {
        let count = distance.len();
        Side { distance, is_settled: vec![false; count], previous: vec![None; count] }
    }

    fn nearest_unsettled(&self) -> Option<(usize, f64)> {
        let open = self.distance.iter().enumerate();
        let open = open.filter(|(place, distance)| !self.is_settled[*place] && distance.is_finite());
        open.min_by(|a, b| a.1.total_cmp(b.1)).map(|(place, distance)| (place, *distance))
    }

    fn relax(&mut self, node: usize, distance: f64, previous: usize) {
        if distance < self.distance[node] {
            (self.distance[node], self.previous[node]) = (distance, Some(previous));
        }
    }
}

/// Dijkstra's algorithm on reduced costs.
struct PathSearch {
    origins: Side,
    targets: Side,
}

impl PathSearch {
    fn new(network: &Network<'_>, potentials: &Potentials) -> Self {
        let start = |(unsent, potential): (&u64, &f64)| {
            if *unsent > 0 {
                (-potential).max(0.0)
            } else {
                UNREACHABLE
            }
        };
        PathSearch {
            origins: Side::new(network.unsent.iter().zip(&potentials.origins).map(start).collect()),
            targets: Side::new(vec![UNREACHABLE; network.free.len()]),
        }
    }

    fn nearest_unsettled(&self) -> Option<Node> {
        match (self.origins.nearest_unsettled(), self.targets.nearest_unsettled()) {
            (Some((_, to_origin)), Some((target, to_target))) if to_target < to_origin => {
                Some(Node::Target(target))
            }
            (Some((origin, _)), _) => Some(Node::Origin(origin)),
            (None, Some((target, _))) => Some(Node::Target(target)),
            (None, None) => None,
        }
    }

    fn settle_origin(&mut self, origin: usize, network: &Network<'_>, potentials: &Potentials) {
        self.origins.is_settled[origin] = true;
        let (distance, potential) = (self.origins.distance[origin], potentials.origins[origin]);
        for (target, cost) in network.cost[origin].iter().enumerate() {
            // What no path leads to stays out of reach: infinity less infinity is no cost.
            if cost.is_finite() && potentials.targets[target].is_finite() {
                let reduced = (cost + potential - potentials.targets[target]).max(0.0);
                self.targets.relax(target, distance + reduced, origin);
            }
        }
    }

    fn settle_target(&mut self, target: usize, network: &Network<'_>, potentials: &Potentials) {
        self.targets.is_settled[target] = true;
        let (distance, potential) = (self.targets.distance[target], potentials.targets[target]);
        for origin in (0..network.flows.len()).filter(|origin| network.flows[*origin][target] > 0) {
            let cost = network.cost[origin][target];
            let reduced = (potential - potentials.origins[origin] - cost).max(0.0);
            self.origins.relax(origin, distance + reduced, target);
        }
    }

    /// Moves the potentials by the distances found.
    fn update(&self, potentials: &mut Potentials) {
        let origins = self.origins.distance.iter().zip(potentials.origins.iter_mut());
        let targets = self.targets.distance.iter().zip(potentials.targets.iter_mut());
        for (distance, potential) in origins.chain(targets).filter(|(distance, _)| distance.is_finite()) {
            *potential += distance;
        }
    }

    fn path_to(&self, mut target: usize) -> Option<Vec<Hop>> {
        let mut path = Vec::new();
        loop {
            let origin = self.targets.previous[target]?;
            path.push(Hop { origin, target });
            match self.origins.previous[origin] {
                Some(previous) => target = previous,
                None => break,
            }
        }
        path.reverse();
        Some(path)
    }
}
