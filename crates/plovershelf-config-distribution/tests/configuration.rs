//! Checks of edits, the digest, parts and the history.

use plovershelf_config_distribution::quota_table::{
    Building, Content, Edit, History, Numbered, Unfit, Version, CHANGE_BYTES_MOST, PART_BYTES, TENANTS_MOST,
};

fn list(tenants: usize) -> Content {
    Content::initial((0..tenants).map(|at| (format!("tenant-{at:05}"), at as f64))).unwrap()
}
fn set(tenant: &str, quota_per_s: f64) -> Edit {
    Edit::Set { tenant: tenant.to_string(), quota_per_s }
}
fn add(tenant: &str, quota_per_s: f64) -> Edit {
    Edit::Add { tenant: tenant.to_string(), quota_per_s }
}
fn remove(tenant: &str) -> Edit {
    Edit::Remove { tenant: tenant.to_string() }
}
fn next(content: &Content, edits: Vec<Edit>) -> Numbered {
    let before = content.version();
    let version = Version { era: 1, number: before.number + 1 };
    let digest = content.check(&edits).unwrap();
    Numbered { version, before, digest, edits, proposed_ms: 1_700_000_000_000 }
}

#[test]
fn each_edit_that_cannot_be_is_named_and_changes_nothing() {
    let content = list(3);
    let long = "x".repeat(65);
    let cases: Vec<(Vec<Edit>, &[&str])> = vec![
        (vec![], &["no edit"]),
        (vec![set("tenant-9", 1.0)], &["edit 1", "tenant-9", "no such tenant"]),
        (vec![remove("tenant-9")], &["tenant-9", "no such tenant"]),
        (vec![add("tenant-00001", 1.0)], &["tenant-00001", "known, with 1"]),
        (vec![set("tenant-00001", 1.0), remove("tenant-00001")], &["edit 2", "twice"]),
        (vec![set("tenant-00001", f64::NAN)], &["NaN", "0 to 1000000000"]),
        (vec![set("tenant-00001", f64::INFINITY)], &["inf"]),
        (vec![set("tenant-00001", -0.5)], &["-0.5"]),
        (vec![set("tenant-00001", 1.1e9)], &["1100000000"]),
        (vec![add("", 1.0)], &["no name"]),
        (vec![add(&long, 1.0)], &["65 bytes", "64 at most"]),
        (vec![add("a\nb", 1.0)], &["control character"]),
    ];
    for (edits, parts) in cases {
        let why = content.check(&edits).unwrap_err();
        assert!(parts.iter().all(|part| why.contains(part)), "{why:?} lacks one of {parts:?}");
        assert!(!why.contains('\n') && why.len() < 400, "{why:?}");
        let mut changed = content.clone();
        let version = Version { era: 1, number: 1 };
        let change = Numbered { version, before: Version::default(), digest: 0, edits, proposed_ms: 0 };
        assert_eq!(changed.apply(&change), Err(Unfit::Edit(why)));
        assert_eq!(changed, content);
    }
}

#[test]
fn a_change_is_as_large_as_the_council_takes_and_the_list_bounded() {
    let content = list(10);
    let edits: Vec<Edit> = (0..3000).map(|at| add(&format!("a-tenant-{at:012}"), 1.0)).collect();
    let why = content.check(&edits).unwrap_err();
    assert!(why.contains("65536 bytes at most"), "{why}");
    let most = (CHANGE_BYTES_MOST - 96) / (21 + 11);
    let change = next(&content, edits[..most].to_vec());
    assert!(change.bytes() <= CHANGE_BYTES_MOST);
    assert!(postcard::to_stdvec(&change).unwrap().len() <= CHANGE_BYTES_MOST);
    let full = list(TENANTS_MOST);
    assert!(full.check(&[add("one more", 1.0)]).unwrap_err().contains("100000 at most"));
    assert!(full.check(&[add("one more", 1.0), remove("tenant-00001")]).is_ok());
    let list = (0..=TENANTS_MOST).map(|at| (format!("{at}"), 1.0));
    assert!(Content::initial(list).unwrap_err().contains("100000"));
    assert!(Content::initial([("a", 1.0), ("a", 2.0)]).unwrap_err().contains("named twice"));
}

#[test]
fn the_digest_is_that_of_the_list_whatever_way_led_there() {
    let mut content = list(5);
    let edits = vec![set("tenant-00001", 7.5), remove("tenant-00002"), add("new", 3.0)];
    let change = next(&content, edits);
    content.apply(&change).unwrap();
    assert_eq!(content.digest(), change.digest);
    let again: Vec<(String, f64)> = content.iter().map(|(name, quota)| (name.to_string(), quota)).collect();
    assert_eq!(Content::initial(again).unwrap().digest(), content.digest());
    assert_ne!(Content::initial([("a", 1.0), ("b", 2.0)]), Content::initial([("a", 2.0), ("b", 1.0)]));
    assert_eq!((content.quota("tenant-00001"), content.quota("tenant-00002")), (Some(7.5), None));
    assert_eq!((content.len(), content.quota("new")), (5, Some(3.0)));
}

#[test]
fn a_change_from_before_beside_or_of_another_digest_changes_nothing() {
    let mut content = list(5);
    let first = next(&content, vec![set("tenant-00001", 2.0)]);
    content.apply(&first).unwrap();
    let held = content.clone();
    assert_eq!(content.apply(&first), Err(Unfit::Gap));
    let mut second = next(&content, vec![set("tenant-00001", 3.0)]);
    second.digest ^= 1;
    assert_eq!(content.apply(&second), Err(Unfit::Digest));
    second.before.number += 1;
    assert_eq!(content.apply(&second), Err(Unfit::Gap));
    assert_eq!(content, held);
}

#[test]
fn the_whole_goes_in_parts_and_is_refused_where_its_digest_is_another() {
    let content = list(34_000);
    let mut building = Building::new(content.version(), content.digest());
    let mut wrong = Building::new(content.version(), content.digest() ^ 1);
    let mut parts = 0;
    loop {
        let after = building.after().map(str::to_string);
        let (entries, last) = content.part(after.as_deref());
        assert!(postcard::to_stdvec(&entries).unwrap().len() <= PART_BYTES);
        wrong.add(entries.clone()).unwrap();
        building.add(entries).unwrap();
        parts += 1;
        if last {
            break;
        }
    }
    assert_eq!(building.finish().unwrap(), content);
    assert!(wrong.finish().unwrap_err().contains("another digest"));
    println!("34,000 tenants in {parts} parts");
    let mut unordered = Building::new(Version::default(), 0);
    unordered.add(vec![("b".to_string(), 1.0)]).unwrap();
    assert!(unordered.add(vec![("a".to_string(), 1.0)]).unwrap_err().contains("order"));
    assert!(unordered.add(vec![("c".to_string(), -1.0)]).unwrap_err().contains("-1"));
}

#[test]
fn the_history_is_bounded_by_count_and_by_bytes_and_reaches_back_without_a_gap() {
    let mut content = list(2000);
    let mut history = History::default();
    for at in 0..400 {
        let change = next(&content, vec![set("tenant-00001", f64::from(at))]);
        content.apply(&change).unwrap();
        history.push(change);
    }
    let number = |number| Version { era: 1, number };
    assert_eq!(history.iter().count(), 256);
    assert_eq!(history.after(number(144)).unwrap().count(), 256);
    assert!(history.after(number(143)).is_none() && history.after(number(400)).is_none());
    assert_eq!(history.after(number(399)).unwrap().next().unwrap().version, number(400));
    for at in 0..20 {
        let edits = (0..1500).map(|tenant| set(&format!("tenant-{tenant:05}"), f64::from(at))).collect();
        let change = next(&content, edits);
        content.apply(&change).unwrap();
        history.push(change);
    }
    assert!(history.bytes() <= 256 << 10 && history.iter().count() < 20);
    let mut late = next(&content, vec![set("tenant-00001", 1.0)]);
    late.before.number += 5;
    history.push(late);
    assert_eq!(history.iter().count(), 1);
}

#[test]
fn a_whole_on_its_way_takes_in_the_changes_meanwhile() {
    let mut content = list(4000);
    let mut building = Building::new(content.version(), content.digest());
    let mut step = 0;
    loop {
        let (entries, last) = content.part(building.after());
        building.add(entries).unwrap();
        if last {
            break;
        }
        let cursor = building.after().unwrap().to_string();
        let edits = vec![
            set("tenant-00001", f64::from(step)),
            remove(&cursor),
            set("tenant-03999", f64::from(step)),
            add(&format!("tenant-00000-{step}"), 1.0),
            add(&format!("tenant-03998-{step}"), 1.0),
        ];
        let change = next(&content, edits);
        content.apply(&change).unwrap();
        building.change(&change);
        building.change(&change);
        step += 1;
    }
    assert!(step >= 2);
    assert_eq!(building.finish().unwrap(), content);
}
