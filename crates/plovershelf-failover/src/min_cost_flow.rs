//! Solver of the transportation problem: maximum flow at minimum cost.
//!
//! The solver uses successive shortest augmenting paths with potentials (Edmonds and Karp) on integer units. It is exact, and the
//! same input gives the same result on every machine. Greedy assignment to the nearest target can send fewer units or use longer
//! paths; a property test compares the two.

/// Units sent from each origin to each target, with a row per origin.
pub type Flows = Vec<Vec<u64>>;

/// Cost between an origin and a target without a path.
pub const UNREACHABLE: f64 = f64::INFINITY;
/// Paths below this cost are exclusive: no other origin may have a path of such a cost to the same target.
pub const EXCLUSIVE_PATH_COST: f64 = 0.01;
/// Tolerance when comparing potentials.
const TOLERANCE: f64 = 1e-9;

/// Sends as much of `supply` as `capacity` allows, at the minimum total cost.
///
/// `cost` has a row per origin with the cost per unit to each target. The `stages` of origins are processed in order: a later
/// stage never reduces the number of units sent by an earlier one, but may change their targets.
pub fn min_cost_flow(supply: &[u64], stages: &[Vec<usize>], capacity: &[u64], cost: &[Vec<f64>]) -> Flows {
    let mut network = Network {
        cost,
        unsent: vec![0; supply.len()],
        free: capacity.to_vec(),
        flows: vec![vec![0; capacity.len()]; supply.len()],
    };
    for stage in stages {
        stage.iter().for_each(|origin| network.unsent[*origin] = supply[*origin]);
        stage.iter().for_each(|origin| network.send_by_exclusive_paths(*origin));
        let mut potentials = network.potentials();
        while let Some(path) = network.shortest_path(&mut potentials) {
            network.augment(&path);
        }
    }
    network.flows
}

/// A forward edge of an augmenting path. Between two consecutive hops, units sent from the later hop's origin to the earlier
/// hop's target are withdrawn.
#[derive(Clone, Copy)]
struct Hop {
    origin: usize,
    target: usize,
}

/// Node potentials: distances from the origins with unsent units, where backward edges have negative costs. They make all reduced
/// costs non-negative, as Dijkstra's algorithm requires.
struct Potentials {
    origins: Vec<f64>,
    targets: Vec<f64>,
}

/// The residual network.
struct Network<'a> {
    cost: &'a [Vec<f64>],
    /// Unsent units by origin; 0 for origins of later stages.
    unsent: Vec<u64>,
    /// Free capacity by target, in units.
    free: Vec<u64>,
    flows: Flows,
}

impl Network<'_> {
    /// Sends units by exclusive paths, cheapest first. No search is needed, because such a path is always the shortest to its
    /// target.
    fn send_by_exclusive_paths(&mut self, origin: usize) {
        let cost = &self.cost[origin];
        let mut targets: Vec<usize> =
            (0..self.free.len()).filter(|to| cost[*to] < EXCLUSIVE_PATH_COST).collect();
        targets.sort_by(|a, b| cost[*a].total_cmp(&cost[*b]));
        for target in targets {
            let units = self.unsent[origin].min(self.free[target]);
            self.flows[origin][target] += units;
            self.free[target] -= units;
            self.unsent[origin] -= units;
        }
    }

    /// Sends along a path as many units as its first origin has unsent, its last target has free, and each backward edge allows.
    fn augment(&mut self, path: &[Hop]) {
        let (first, last) = (path[0].origin, path[path.len() - 1].target);
        let withdrawable = path.windows(2).map(|pair| self.flows[pair[1].origin][pair[0].target]);
        let units = withdrawable.fold(self.unsent[first].min(self.free[last]), u64::min);
        for (index, hop) in path.iter().enumerate() {
            self.flows[hop.origin][hop.target] += units;
            if let Some(next) = path.get(index + 1) {
                self.flows[next.origin][hop.target] -= units;
            }
        }
        self.unsent[first] -= units;
        self.free[last] -= units;
    }

    /// Computes the initial potentials of a stage with the Bellman-Ford algorithm.
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

    /// Relaxes all forward edges and returns whether a potential changed.
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

    /// Relaxes all backward edges and returns whether a potential changed.
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

    /// Returns the shortest path from an origin with unsent units to a target with free capacity, and updates the potentials.
    fn shortest_path(&self, potentials: &mut Potentials) -> Option<Vec<Hop>> {
        let mut search = PathSearch::new(self, potentials);
        while let Some(node) = search.nearest_unsettled() {
            match node {
                Node::Origin(origin) => search.settle_origin(origin, self, potentials),
                Node::Target(target) => search.settle_target(target, self, potentials),
            }
        }
        search.update(potentials);
        // After the update the potentials are true distances, by which the nearest target with free capacity is chosen.
        let is_candidate = |to: &usize| self.free[*to] > 0 && search.targets.distance[*to].is_finite();
        let nearest = |a: &usize, b: &usize| potentials.targets[*a].total_cmp(&potentials.targets[*b]);
        let target = (0..self.free.len()).filter(is_candidate).min_by(nearest)?;
        search.path_to(target)
    }
}

enum Node {
    Origin(usize),
    Target(usize),
}

/// Search state of the nodes on one side of the bipartite network.
struct Side {
    distance: Vec<f64>,
    /// Whether the distance is final.
    is_settled: Vec<bool>,
    /// Predecessor on the other side.
    previous: Vec<Option<usize>>,
}

impl Side {
    fn new(distance: Vec<f64>) -> Self {
        let count = distance.len();
        Side { distance, is_settled: vec![false; count], previous: vec![None; count] }
    }

    fn nearest_unsettled(&self) -> Option<(usize, f64)> {
        let nodes = self.distance.iter().enumerate();
        let reachable = nodes.filter(|(node, distance)| !self.is_settled[*node] && distance.is_finite());
        reachable.min_by(|a, b| a.1.total_cmp(b.1)).map(|(node, distance)| (node, *distance))
    }

    fn relax(&mut self, node: usize, distance: f64, previous: usize) {
        if distance < self.distance[node] {
            (self.distance[node], self.previous[node]) = (distance, Some(previous));
        }
    }
}

/// Shortest-path search with Dijkstra's algorithm on reduced costs.
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
            // Skips unreachable targets: infinity minus infinity would give NaN as reduced cost.
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

    /// Adds the distances found to the potentials.
    fn update(&self, potentials: &mut Potentials) {
        let origins = self.origins.distance.iter().zip(potentials.origins.iter_mut());
        let targets = self.targets.distance.iter().zip(potentials.targets.iter_mut());
        for (distance, potential) in origins.chain(targets).filter(|(distance, _)| distance.is_finite()) {
            *potential += distance;
        }
    }

    /// Returns the path found to a target.
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
