//! Zones on simulated time: each shape of trouble played with the plan, with callers that judge alone, with fixed weights, and as well
//! as could be with all known; compared by pairs of one seed.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use plovershelf_simulation::plot::{lines, Line};
use plovershelf_simulation::statistics::compared;
use plovershelf_simulation::zones::{Came, Led, Shape, World, SHAPES};

use super::{Aim, Figures, Ground};

const LEADS: [Led; 4] = [Led::Plan, Led::Alone, Led::Fixed, Led::Best];

/// What each way of leading came to, a line a seed.
fn play(name: &'static str, members: usize, seeds: std::ops::Range<u64>) -> Vec<[Came; 4]> {
    let all: Vec<u64> = seeds.collect();
    let next = AtomicUsize::new(0);
    let came = Mutex::new(vec![Default::default(); all.len()]);
    let work = || loop {
        let place = next.fetch_add(1, Ordering::Relaxed);
        let Some(seed) = all.get(place).copied() else { return };
        let one = LEADS.map(|led| World::run(Shape::of(name, members, seed), led, seed));
        if let Ok(mut came) = came.lock() {
            came[place] = one;
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    came.into_inner().unwrap_or_default()
}

fn share(came: &Came) -> f64 {
    came.worth / came.worth_asked.max(1e-9)
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let (members, seeds) = (ground.members.unwrap_or(36), ground.seeds.unwrap_or(20));
    if !(6..=900).contains(&members) {
        return Err(format!("--members {members}: from 6 to 900"));
    }
    if seeds == 0 {
        return Err("--seeds 0: at least 1".into());
    }
    let from = ground.seed * 100_000;
    let mut figures = Figures::default();
    let none = Aim::AtMost(0.0);
    let (mut near, mut needless, mut past) = ([0.0; 2], 0, 0);
    for name in SHAPES {
        let came = play(name, members, from..from + seeds);
        let mean = |of: &dyn Fn(&[Came; 4]) -> f64| came.iter().map(of).sum::<f64>() / came.len() as f64;
        let worst = |of: &dyn Fn(&Came) -> f64| came.iter().map(|one| of(&one[0])).fold(0.0, f64::max);
        let ratio = |part: &dyn Fn(&Came) -> [f64; 2]| {
            let sum = came.iter().map(|one| part(&one[0])).fold([0.0; 2], |a, b| [a[0] + b[0], a[1] + b[1]]);
            (sum[1] > 0.0).then(|| sum[0] / sum[1])
        };
        let calm = came.iter().map(|one| one[0].near_calm).fold([0.0; 2], |a, b| [a[0] + b[0], a[1] + b[1]]);
        near = [near[0] + calm[0], near[1] + calm[1]];
        needless += came.iter().map(|one| one[0].needless).sum::<u64>();
        past += came.iter().map(|one| one[0].two_plans_past_bound).sum::<u64>();
        let mut of_shape = Figures::default();
        let best = mean(&|one| share(&one[3]));
        let own = mean(&|one| share(&one[0]));
        of_shape.told("revenue_share", own);
        of_shape.told("revenue_share_best", best);
        of_shape.told("revenue_share_each_alone", mean(&|one| share(&one[1])));
        of_shape.told("revenue_share_fixed", mean(&|one| share(&one[2])));
        of_shape.put("revenue_to_best", own / best.max(1e-9), Aim::AtLeast(0.93));
        // Where the difference can't be told from chance the bar is larger than it.
        let against = |other: usize| -> Vec<f64> {
            came.iter().map(|one| share(&one[0]) - share(&one[other])).collect()
        };
        let (alone, fixed) = (compared(&against(1)), compared(&against(2)));
        of_shape.put("over_each_alone", alone.mean, Aim::AtLeast(if alone.told { 0.0 } else { -1.0 }));
        of_shape.told("over_each_alone_bar", alone.bar.min(9.0));
        of_shape.told("over_each_alone_told", f64::from(u8::from(alone.told)));
        of_shape.told("over_fixed", fixed.mean);
        of_shape.told("over_fixed_bar", fixed.bar.min(9.0));
        of_shape.put("near_share_healthy_zones", ratio(&|c| c.near_healthy), Aim::AtLeast(0.9));
        of_shape.put(
            "shift_s_worst",
            worst(&|c| c.shift_ms_worst) / 1000.0,
            Aim::AtMost(if name == "late-news" { 9.0 } else { 3.0 }),
        );
        of_shape.told("two_plans_past_bound", worst(&|c| c.two_plans_past_bound as f64));
        of_shape.told("return_s_worst", worst(&|c| c.return_ms_worst) / 1000.0);
        of_shape.put("survivors_overrun_s", worst(&|c| c.overrun_s), Aim::AtMost(0.5));
        of_shape.put("moves_a_minute_worst", worst(&|c| c.turns_a_minute as f64), Aim::AtMost(2.0));
        figures.phase(name, of_shape);
        if let Some(folder) = &ground.logs {
            let line = |led: usize, called: &str| Line {
                name: called.to_string(),
                points: came.iter().enumerate().map(|(n, one)| (n as f64, share(&one[led]))).collect(),
            };
            let drawn =
                [line(0, "by the plan"), line(1, "each alone"), line(2, "fixed"), line(3, "best possible")];
            let text = lines(&format!("Zones: {name}"), "seed", "share of the worth asked for", &drawn)?;
            let path = folder.join(format!("zones-{name}.svg"));
            std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        }
    }
    figures.told("members", members as f64);
    figures.told("seeds", seeds as f64);
    figures.put("near_share_calm", near[0] / near[1].max(1e-9), Aim::AtLeast(0.98));
    figures.put("needless_shifts", needless as f64, none);
    figures.put("two_plans_past_bound", past as f64, none);
    Ok(figures)
}
