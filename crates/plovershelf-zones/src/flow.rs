//! Where what does not fit near goes: the most that can be carried, by the shortest ways.
//!
//! A transport problem solved exactly by shortest augmenting ways with potentials, in whole units, so that the same sums give the
//! same plan on every machine. [`greedy`] fills the nearest first and is what this was weighed against.

/// What one origin sends to one target, in units.
pub type Flows = Vec<Vec<u64>>;

/// A way longer than this is no way.
pub const NO_WAY: f64 = f64::INFINITY;

/// Carries as much of `supply` to `room` as there is room for, at the least sum of units times `cost`. Rows are origins.
pub fn least_cost(supply: &[u64], room: &[u64], cost: &[Vec<f64>]) -> Flows {
    let (origins, targets) = (supply.len(), room.len());
    let mut flows = vec![vec![0; targets]; origins];
    let (mut left, mut free) = (supply.to_vec(), room.to_vec());
    // Potentials keep the costs of what may still change from being negative, so Dijkstra's way finds the shortest.
    let (mut up, mut down) = (vec![0.0f64; origins], vec![0.0f64; targets]);
    loop {
        let Some(way) = shortest(&left, &free, &flows, cost, &mut up, &mut down) else { return flows };
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
    let mut at_origin: Vec<f64> = left.iter().map(|left| if *left > 0 { 0.0 } else { NO_WAY }).collect();
    let mut at_target = vec![NO_WAY; targets];
    let (mut done_origin, mut done_target) = (vec![false; origins], vec![false; targets]);
    let (mut from_origin, mut from_target) = (vec![usize::MAX; targets], vec![usize::MAX; origins]);
    let nearest = |at: &[f64], done: &[bool]| {
        let open = at.iter().enumerate().filter(|(place, far)| !done[*place] && far.is_finite());
        open.min_by(|a, b| a.1.total_cmp(b.1)).map(|(place, far)| (place, *far))
    };
    let end = loop {
        let (origin, target) = (nearest(&at_origin, &done_origin), nearest(&at_target, &done_target));
        match (origin, target) {
            (None, None) => return None,
            (Some((origin, far)), other) if other.is_none_or(|(_, there)| far <= there) => {
                done_origin[origin] = true;
                for target in 0..targets {
                    let way = far + (cost[origin][target] + up[origin] - down[target]).max(0.0);
                    if way < at_target[target] {
                        (at_target[target], from_origin[target]) = (way, origin);
                    }
                }
            }
            (_, Some((target, far))) => {
                done_target[target] = true;
                if free[target] > 0 {
                    break target;
                }
                for origin in (0..origins).filter(|origin| flows[*origin][target] > 0) {
                    let way = far + (down[target] - up[origin] - cost[origin][target]).max(0.0);
                    if way < at_origin[origin] {
                        (at_origin[origin], from_target[origin]) = (way, target);
                    }
                }
            }
            (Some(_), None) => unreachable!("the arm before takes it"),
        }
    };
    let far = at_target[end];
    for (potential, at) in up.iter_mut().zip(&at_origin).chain(down.iter_mut().zip(&at_target)) {
        *potential += at.min(far);
    }
    let mut way = Vec::new();
    let mut target = end;
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
