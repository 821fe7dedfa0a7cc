use std::net::SocketAddr;

use serde_json::json;

use super::*;

fn handler(bulkheads: Sender<BulkheadPlan>, give_notice: Sender<f64>) -> SignalHandler {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let startup = plovershelf_settings::read(plovershelf_testkit::scripted::SETTINGS, 1).expect("settings");
    let peers = Peers {
        agent: Rc::new(Cell::new(address)),
        registry: Rc::new(Cell::new(address)),
        dependency: Rc::new(Cell::new(None)),
    };
    SignalHandler {
        peers,
        fixed: FixedParts::of(&json!({})),
        agent_moved: async_channel::bounded(1).0,
        bulkheads,
        classes: startup.classes,
        config: startup.config,
        cluster: None,
        distribution: None,
        give_notice,
        handoff_ms: 0.0,
    }
}

fn plan(name: &str) -> BulkheadPlan {
    let text = format!("[pool {name}]\nofferings = plain\n");
    plovershelf_config::pools::read("pools.ini", &text, &["plain".to_string()]).expect("a plan")
}

/// Several reloads come while nobody takes from the driver's queue, then the drain notice: the notice must be given at once, and the
/// newest plan must be the one that is left.
#[test]
fn drain_notice_does_not_wait_behind_plans_of_bulkheads() {
    let (bulkheads, newest) = async_channel::bounded(1);
    let (give_notice, notice) = async_channel::bounded(1);
    let handler = handler(bulkheads, give_notice);
    for name in ["first", "second", "third"] {
        handler.replace_bulkheads(plan(name));
    }
    handler.drain();
    assert!(notice.try_recv().is_ok());
    assert_eq!(newest.try_recv().map(|plan| plan.bulkheads[0].name.clone()), Ok("third".to_string()));
    assert!(newest.is_empty());
}
