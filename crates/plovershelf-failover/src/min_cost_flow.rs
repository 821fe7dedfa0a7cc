//! Where what does not fit near goes: the most that can be carried, by the shortest ways.
//!
//! A transport problem solved exactly by shortest augmenting ways with potentials, in whole units, so that the same sums give the
//! same plan on every machine. [`greedy`] fills the nearest first and is what this was weighed against.

/// What one origin sends to one target, in units.
pub type Flows = Vec<Vec<u64>>;

/// A way longer than this is no way.
pub const NO_WAY: f64 = f64::INFINITY;
/// Ways that cost less are one origin's own; no other origin may have one to the same target.
pub const CHEAP: f64 = 0.01;

/// Carries as much of `supply` to `room` as there is room for, at the least sum of units times `cost`. Rows are origins; `stages`
/// are carried one after the other: a later one never takes from what an earlier one carries, though it may send it elsewhere.
pub fn least_cost(supply: &[u64], stages: &[Vec<usize>], room: &[u64], cost: &[Vec<f64>]) -> Flows {
    let mut flows = vec![vec![0; room.len()]; supply.len()];
    let (mut left, mut free) = (vec![0; supply.len()], room.to_vec());
    for stage in stages {
        stage.iter().for_each(|row| left[*row] = supply[*row]);
        // What costs next to nothing is nobody's shorter way: it needs no search.
        for row in stage {
            let mut cheap: Vec<usize> = (0..room.len()).filter(|to| cost[*row][*to] < CHEAP).collect();
            cheap.sort_by(|a, b| cost[*row][*a].total_cmp(&cost[*row][*b]));
            for to in cheap {
                let some = left[*row].min(free[to]);
                flows[*row][to] += some;
                free[to] -= some;
                left[*row] -= some;
            }
        }
        let (mut up, mut down) = potentials(&left, &flows, cost, room.len());
        while let Some(way) = shortest(&left, &free, &flows, cost, &mut up, &mut down) {
            // As much as the end has room for, the beginning has left, and each way back has to give.
            let (first, last) = (way[0].0, way[way.len() - 1].1);
            let backs = way.windows(2).map(|pair| flows[pair[1].0][pair[0].1]);
            let most = backs.fold(left[first].min(free[last]), u64::min);
            for (place, (origin, target)) in way.iter().enumerate() {
                flows[*origin][*target] += most;
                if place + 1 < way.len() {
                    flows[way[place + 1].0][*target] -= most;
                }
            }
            left[first] -= most;
            free[last] -= most;
        }
    }
    flows
}

/// How far all is from those with something left, ways back counted as what they save: by these no cost is negative, so Dijkstra's
/// way finds the shortest.
fn potentials(left: &[u64], flows: &Flows, cost: &[Vec<f64>], targets: usize) -> (Vec<f64>, Vec<f64>) {
    let mut up: Vec<f64> = left.iter().map(|left| if *left > 0 { 0.0 } else { NO_WAY }).collect();
    let mut down = vec![NO_WAY; targets];
    loop {
        let mut changed = false;
        for (origin, costs) in cost.iter().enumerate().filter(|(_, costs)| !costs.is_empty()) {
            if up[origin].is_finite() {
                for (down, cost) in down.iter_mut().zip(costs) {
                    if up[origin] + cost < *down - 1e-9 {
                        (*down, changed) = (up[origin] + cost, true);
                    }
                }
            }
        }
        for (origin, row) in flows.iter().enumerate() {
            for (target, _) in row.iter().enumerate().filter(|(_, units)| **units > 0) {
                if down[target] - cost[origin][target] < up[origin] - 1e-9 {
                    (up[origin], changed) = (down[target] - cost[origin][target], true);
                }
            }
        }
        if !changed {
            return (up, down);
        }
    }
}

/// The shortest way from an origin with something left to a target with room, as pairs of origin and target; between two pairs the
/// earlier one's target gives back what the later one's origin had sent there.
fn shortest(
    left: &[u64],
    free: &[u64],
    flows: &Flows,
    cost: &[Vec<f64>],
    up: &mut [f64],
    down: &mut [f64],
) -> Option<Vec<(usize, usize)>> {
    let (origins, targets) = (left.len(), free.len());
    let begins = |(left, up): (&u64, &f64)| if *left > 0 { (-up).max(0.0) } else { NO_WAY };
    let mut at_origin: Vec<f64> = left.iter().zip(up.iter()).map(begins).collect();
    let mut at_target = vec![NO_WAY; targets];
    let (mut done_origin, mut done_target) = (vec![false; origins], vec![false; targets]);
    let (mut from_origin, mut from_target) = (vec![usize::MAX; targets], vec![usize::MAX; origins]);
    let nearest = |at: &[f64], done: &[bool]| {
        let open = at.iter().enumerate().filter(|(place, far)| !done[*place] && far.is_finite());
        open.min_by(|a, b| a.1.total_cmp(b.1)).map(|(place, far)| (place, *far))
    };
    loop {
        let (origin, target) = (nearest(&at_origin, &done_origin), nearest(&at_target, &done_target));
        match (origin, target) {
            (None, None) => break,
            (Some((origin, far)), other) if other.is_none_or(|(_, there)| far <= there) => {
                done_origin[origin] = true;
                // What no way leads to stays out of reach: infinity less infinity is no cost.
                for target in (0..targets).filter(|to| cost[origin][*to].is_finite() && down[*to].is_finite())
                {
                    let way = far + (cost[origin][target] + up[origin] - down[target]).max(0.0);
                    if way < at_target[target] {
                        (at_target[target], from_origin[target]) = (way, origin);
                    }
                }
            }
            (_, Some((target, far))) => {
                done_target[target] = true;
                for origin in (0..origins).filter(|origin| flows[*origin][target] > 0) {
                    let way = far + (down[target] - up[origin] - cost[origin][target]).max(0.0);
                    if way < at_origin[origin] {
                        (at_origin[origin], from_target[origin]) = (way, target);
                    }
                }
            }
            (Some(_), None) => unreachable!("the arm before takes it"),
        }
    }
    let reached = at_origin.iter().zip(up.iter_mut()).chain(at_target.iter().zip(down.iter_mut()));
    for (at, potential) in reached.filter(|(at, _)| at.is_finite()) {
        *potential += at;
    }
    // By true costs now: the nearest that has room.
    let open = (0..targets).filter(|target| free[*target] > 0 && at_target[*target].is_finite());
    let mut target = open.min_by(|a, b| down[*a].total_cmp(&down[*b]))?;
    let mut way = Vec::new();
    loop {
        let origin = from_origin[target];
        way.push((origin, target));
        if from_target[origin] == usize::MAX {
            break;
        }
        target = from_target[origin];
    }
    way.reverse();
    Some(way)
}

/// The nearest target with room first, origins in turn: quick, and at times longer ways or less carried than can be.
pub fn greedy(supply: &[u64], room: &[u64], cost: &[Vec<f64>]) -> Flows {
    let mut flows = vec![vec![0; room.len()]; supply.len()];
    let mut free = room.to_vec();
    for (origin, supply) in supply.iter().enumerate() {
        let mut left = *supply;
        let mut order: Vec<usize> = (0..room.len()).filter(|t| cost[origin][*t].is_finite()).collect();
        order.sort_by(|a, b| cost[origin][*a].total_cmp(&cost[origin][*b]));
        for target in order {
            let some = left.min(free[target]);
            flows[origin][target] += some;
            free[target] -= some;
            left -= some;
        }
    }
    flows
}

/// Units carried, and the sum of units times cost.
pub fn worth(flows: &Flows, cost: &[Vec<f64>]) -> (u64, f64) {
    let mut all = (0, 0.0);
    for (row, costs) in flows.iter().zip(cost) {
        for (units, cost) in row.iter().zip(costs).filter(|(units, _)| **units > 0) {
            all = (all.0 + units, all.1 + *units as f64 * cost);
        }
    }
    all
}
