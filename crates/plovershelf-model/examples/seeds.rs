use plovershelf_model::group::{Plan, World};
use plovershelf_model::schedule::Schedule;
fn main() {
    let args: Vec<u64> = std::env::args().skip(1).map(|a| a.parse().unwrap()).collect();
    let (from, count, members) = (args[0], args[1], args[2] as usize);
    let (mut worst_out, mut worst_known, mut agreed, mut never) = (0.0f64, 0.0f64, Vec::new(), 0);
    let (mut healthy, mut broken, mut lag, mut left) = (0, 0, 0, 0);
    let began = std::time::Instant::now();
    for seed in from..from + count {
        let schedule = Schedule::draw(seed, members, 3, 14, 30_000.0);
        let came = World::run(Plan::of(schedule, seed));
        worst_out = worst_out.max(came.put_out_ms.most());
        worst_known = worst_known.max(came.known_ms.most());
        match came.agreed_after_ms {
            Some(a) => agreed.push(a),
            None => never += 1,
        }
        healthy += came.healthy_put_out.len();
        lag += came.lagging;
        left += came.left_out;
        for b in &came.audit.broken {
            println!("seed {seed}: {} at {:.0}: {}", b.promise, b.at, b.told);
        }
        broken += came.audit.broken.len();
        if came.agreed_after_ms.is_none()
            || came.lagging > 0
            || came.left_out > 0
            || !came.healthy_put_out.is_empty()
        {
            println!(
                "seed {seed}: agreed {:?} lagging {} left out {} healthy {:?} views {}",
                came.agreed_after_ms, came.lagging, came.left_out, came.healthy_put_out, came.views
            );
        }
    }
    agreed.sort_by(f64::total_cmp);
    println!("{count} seeds in {:?}: broken {broken}, healthy out {healthy}, lagging {lag}, left out {left}, out worst {worst_out:.0}, known worst {worst_known:.0}, agreed median {:?} worst {:?} never {never}", began.elapsed(), agreed.get(agreed.len()/2), agreed.last());
}
