use super::*;

fn edit(tenant: &str, quota_per_s: f64) -> Edit {
    Edit::Set { tenant: tenant.into(), quota_per_s }
}

/// An owner that takes nothing for a while gets one word on all that came meanwhile.
#[test]
fn what_an_owner_did_not_take_is_joined_with_what_comes() {
    let (to, taken) = async_channel::bounded(1);
    let mut telling = Telling::new("n1".into(), Sink::Quotas(to));
    let content = Content::initial([("acme", 1.0), ("zeta", 2.0)]).expect("a content");
    let version = |number| Version { era: 1, number };
    let mut tell = |number: u64, edits: Option<&[Edit]>| {
        telling.tell(0.0, &content, version(number), edits);
        telling.waits()
    };
    assert!(!tell(1, Some(&[edit("acme", 3.0)])));
    assert!(tell(2, Some(&[edit("acme", 4.0), edit("zeta", 5.0)])));
    assert!(tell(3, Some(&[Edit::Remove { tenant: "zeta".into() }])));
    assert_eq!(taken.try_recv().expect("the first").version, version(1));
    telling.hand_on();
    let joined = taken.try_recv().expect("the rest");
    assert_eq!((joined.version, joined.whole, joined.quotas.len()), (version(3), false, 2));
    assert_eq!((joined.quotas["acme"], joined.quotas["zeta"]), (Some(4.0), None));
    telling.tell(0.0, &content, version(4), Some(&[edit("acme", 9.0)]));
    telling.tell(0.0, &content, version(5), Some(&[edit("acme", 9.0)]));
    telling.tell(0.0, &content, version(6), None);
    assert!(taken.try_recv().is_ok());
    telling.hand_on();
    let whole = taken.try_recv().expect("all");
    assert!(whole.whole && whole.quotas["acme"] == Some(1.0) && !telling.waits());
}
