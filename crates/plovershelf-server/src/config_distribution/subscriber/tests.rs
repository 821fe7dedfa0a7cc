use super::*;

fn set(tenant: &str, quota_per_s: f64) -> Edit {
    Edit::Set { tenant: tenant.into(), quota_per_s }
}

/// A subscriber receives nothing for a while, and several versions come into force. It must get one merged update to
/// the newest version, so that pending updates stay bounded.
#[test]
fn pending_updates_are_merged_with_later_ones() {
    let (sender, updates) = async_channel::bounded(1);
    let mut publisher = Publisher::new("n1".into(), Subscriber::Quotas(sender));
    let table = QuotaTable::initial([("acme", 1.0), ("zeta", 2.0)]).expect("a table");
    let version = |number| Version { epoch: 1, number };
    let mut publish = |number: u64, edits: &[Edit]| {
        publisher.publish_delta(0.0, version(number), edits);
        publisher.has_pending()
    };
    assert!(!publish(1, &[set("acme", 3.0)]));
    assert!(publish(2, &[set("acme", 4.0), set("zeta", 5.0)]));
    assert!(publish(3, &[Edit::Remove { tenant: "zeta".into() }]));
    assert_eq!(updates.try_recv().expect("the first update").version, version(1));
    publisher.flush();
    let merged = updates.try_recv().expect("the merged update");
    assert_eq!((merged.version, merged.is_snapshot, merged.quotas.len()), (version(3), false, 2));
    assert_eq!((merged.quotas["acme"], merged.quotas["zeta"]), (Some(4.0), None));
    publisher.publish_delta(0.0, version(4), &[set("acme", 9.0)]);
    publisher.publish_delta(0.0, version(5), &[set("acme", 9.0)]);
    publisher.publish_snapshot(0.0, version(6), &table);
    assert!(updates.try_recv().is_ok());
    publisher.flush();
    let snapshot = updates.try_recv().expect("the snapshot");
    assert!(snapshot.is_snapshot && snapshot.quotas["acme"] == Some(1.0) && !publisher.has_pending());
}
