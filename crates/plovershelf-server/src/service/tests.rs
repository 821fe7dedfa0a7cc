use std::net::SocketAddr;

use serde_json::json;

use super::*;

fn handler(bulkheads: Sender<BulkheadPlan>, notice_sender: Sender<f64>) -> SignalHandler {
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
        agent_address_changed: async_channel::bounded(1).0,
        bulkheads,
        classes: startup.classes,
        config: startup.config,
        cluster: None,
        distribution: None,
        notice_sender,
        handoff_ms: 0.0,
    }
}

fn plan(name: &str) -> BulkheadPlan {
    let text = format!("[pool {name}]\nofferings = plain\n");
    plovershelf_config::pools::read("pools.ini", &text, &["plain".to_string()]).expect("a plan")
}

/// Several reloads arrive while the driver's queue is full, then the drain notice. The notice must be delivered at
/// once, and the newest plan must be the one that remains.
#[test]
fn drain_notice_does_not_wait_for_bulkhead_plans() {
    let (bulkheads, newest) = async_channel::bounded(1);
    let (notice_sender, notice) = async_channel::bounded(1);
    let handler = handler(bulkheads, notice_sender);
    for name in ["first", "second", "third"] {
        handler.replace_bulkheads(plan(name));
    }
    handler.drain();
    assert!(notice.try_recv().is_ok());
    assert_eq!(newest.try_recv().map(|plan| plan.bulkheads[0].name.clone()), Ok("third".to_string()));
    assert!(newest.is_empty());
}
