//! The three ways of a limit on the same shapes of demand: `cargo run --release --example compare`. Each row is the mean
//! over seeds 1 to 5; a place with 16 servers that share, where beyond 64 in hand less gets done.

use plovershelf_bulkhead::{Bounds, Limit, Way};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

const SERVERS: f64 = 16.0;
const CROWD: f64 = 64.0;
const WORK_MS: f64 = 20.0;
const CONTRACT_MS: f64 = 200.0;
const STEP_MS: f64 = 0.5;
const SPAN_MS: f64 = 40_000.0;

#[derive(Clone, Copy)]
struct Shape {
    name: &'static str,
    /// Of what the servers do.
    demand: f64,
    /// Spread of single pieces of work.
    spread: f64,
    /// Work, and the place, are so many times as slow between 15 and 25 s. The second does not hang on what is in hand.
    costly: f64,
    slow: f64,
    alone: f64,
}

const STEADY: Shape = Shape { name: "steady", demand: 0.8, spread: 0.5, costly: 1.0, slow: 1.0, alone: 1.0 };
const SHAPES: [Shape; 6] = [
    STEADY,
    Shape { name: "overload", demand: 1.5, ..STEADY },
    Shape { name: "costly burst", costly: 4.0, ..STEADY },
    Shape { name: "slowdown of all", slow: 3.0, ..STEADY },
    Shape { name: "slow by itself", alone: 6.0, ..STEADY },
    Shape { name: "long tail", spread: 1.4, ..STEADY },
];

struct Piece {
    left_ms: f64,
    lag_ms: f64,
    asked_at: f64,
    began: f64,
}

struct Came {
    served: f64,
    mean_ms: f64,
    most: f64,
    swing: f64,
}

fn play(way: Way, shape: Shape, seed: u64) -> Came {
    let mut chance = Pcg64::seed_from_u64(seed);
    let spread = LogNormal::new(-shape.spread * shape.spread / 2.0, shape.spread).expect("a fit spread");
    let mut limit = Limit::new(way, Bounds { least: 4.0, most: 200.0 }, 16.0);
    let (mut hand, mut asked, mut served, mut took): (Vec<Piece>, f64, f64, f64) =
        (Vec::new(), 0.0, 0.0, 0.0);
    let (mut ended, mut most, mut values) = (0.0f64, 0usize, Vec::new());
    let mut now = 0.0;
    while now < SPAN_MS {
        now += STEP_MS;
        let trouble = (15_000.0..25_000.0).contains(&now);
        if chance.random::<f64>() < shape.demand * SERVERS / WORK_MS * STEP_MS {
            asked += 1.0;
            // What finds no room is turned away at once.
            if (hand.len() as f64) < limit.value().floor() {
                let costly = if trouble { shape.costly } else { 1.0 };
                let lag_ms = if trouble { WORK_MS * (shape.alone - 1.0) } else { 0.0 };
                let left_ms = WORK_MS * costly * spread.sample(&mut chance);
                hand.push(Piece { left_ms, lag_ms, asked_at: now, began: now });
            }
        }
        most = most.max(hand.len());
        let count = hand.len().max(1) as f64;
        let slow = if trouble { shape.slow } else { 1.0 };
        let rate = (SERVERS / count).min(1.0) * (CROWD / count).min(1.0) / slow;
        let in_hand = hand.len();
        for piece in &mut hand {
            if piece.left_ms > 0.0 {
                piece.left_ms -= rate * STEP_MS;
            } else {
                piece.lag_ms -= STEP_MS;
            }
        }
        hand.retain(|piece| {
            let over = piece.left_ms <= 0.0 && piece.lag_ms <= 0.0;
            if over {
                limit.ended(now, now - piece.began, in_hand, true);
                (ended, took) = (ended + 1.0, took + now - piece.began);
                served += f64::from(u8::from(now - piece.asked_at <= CONTRACT_MS));
            }
            !over
        });
        if (5_000.0..15_000.0).contains(&now) {
            values.push(limit.value());
        }
    }
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let variance = values.iter().map(|v| (v - mean) * (v - mean)).sum::<f64>() / values.len() as f64;
    Came {
        served: served / asked,
        mean_ms: took / ended.max(1.0),
        most: most as f64,
        swing: variance.sqrt() / mean,
    }
}

fn main() {
    println!("{:18} {:10} {:>10} {:>9} {:>8} {:>7}", "shape", "way", "in time", "mean ms", "most", "swing");
    for shape in SHAPES {
        for way in [Way::Additive, Way::Gradient, Way::Standing] {
            let all: Vec<Came> = (1..=5).map(|seed| play(way, shape, seed)).collect();
            let mean = |of: fn(&Came) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
            println!(
                "{:18} {:10} {:>10.3} {:>9.1} {:>8.1} {:>7.3}",
                shape.name,
                format!("{way:?}"),
                mean(|came| came.served),
                mean(|came| came.mean_ms),
                mean(|came| came.most),
                mean(|came| came.swing),
            );
        }
    }
}
