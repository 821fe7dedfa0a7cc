//! Tests of edit validation, digests, snapshot chunks and the change log.

use plovershelf_config_distribution::{
    ApplyError, Change, ChangeLog, Chunk, Edit, Entry, QuotaTable, SnapshotBuilder, Version,
    MAX_CHANGE_BYTES, MAX_CHUNK_BYTES, MAX_TENANTS,
};

fn list(tenants: usize) -> QuotaTable {
    QuotaTable::initial((0..tenants).map(|index| (format!("tenant-{index:05}"), index as f64))).unwrap()
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
fn next(table: &QuotaTable, edits: Vec<Edit>) -> Change {
    let previous = table.version();
    let version = Version { epoch: 1, number: previous.number + 1 };
    let digest = table.validate(&edits).unwrap();
    Change { version, previous, digest, edits, proposed_unix_ms: 1_700_000_000_000 }
}

/// An operator's change has an invalid edit. The error must name the edit in one line, and the table must not change.
#[test]
fn invalid_edit_is_named_and_changes_nothing() {
    let table = list(3);
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
    for (edits, fragments) in cases {
        let error = table.validate(&edits).unwrap_err().to_string();
        assert!(fragments.iter().all(|part| error.contains(part)), "{error:?} lacks one of {fragments:?}");
        assert!(!error.contains('\n') && error.len() < 400, "{error:?}");
        let mut changed = table.clone();
        let version = Version { epoch: 1, number: 1 };
        let change = Change { version, previous: Version::default(), digest: 0, edits, proposed_unix_ms: 0 };
        assert!(
            matches!(changed.apply(&change), Err(ApplyError::Invalid(cause)) if cause.to_string() == error)
        );
        assert_eq!(changed, table);
    }
}

/// A change or an initial table is too large. The error must state the limit, and a change just below the limit must
/// be accepted.
#[test]
fn changes_and_tables_are_bounded_in_size() {
    let table = list(10);
    let edits: Vec<Edit> = (0..3000).map(|index| add(&format!("a-tenant-{index:012}"), 1.0)).collect();
    let error = table.validate(&edits).unwrap_err().to_string();
    assert!(error.contains("65536 bytes at most"), "{error}");
    let max_edits = (MAX_CHANGE_BYTES - 96) / (21 + 11);
    let change = next(&table, edits[..max_edits].to_vec());
    assert!(change.max_encoded_bytes() <= MAX_CHANGE_BYTES);
    assert!(postcard::to_stdvec(&change).unwrap().len() <= MAX_CHANGE_BYTES);
    let full = list(MAX_TENANTS);
    assert!(full.validate(&[add("one more", 1.0)]).unwrap_err().to_string().contains("100000 at most"));
    assert!(full.validate(&[add("one more", 1.0), remove("tenant-00001")]).is_ok());
    let list = (0..=MAX_TENANTS).map(|index| (format!("{index}"), 1.0));
    assert!(QuotaTable::initial(list).unwrap_err().to_string().contains("100000"));
    assert!(QuotaTable::initial([("a", 1.0), ("a", 2.0)]).unwrap_err().to_string().contains("named twice"));
}

#[test]
fn digest_depends_only_on_the_entries() {
    let mut table = list(5);
    let edits = vec![set("tenant-00001", 7.5), remove("tenant-00002"), add("new", 3.0)];
    let change = next(&table, edits);
    table.apply(&change).unwrap();
    assert_eq!(table.digest(), change.digest);
    let again: Vec<(String, f64)> = table.iter().map(|(name, quota)| (name.to_string(), quota)).collect();
    assert_eq!(QuotaTable::initial(again).unwrap().digest(), table.digest());
    assert_ne!(QuotaTable::initial([("a", 1.0), ("b", 2.0)]), QuotaTable::initial([("a", 2.0), ("b", 1.0)]));
    assert_eq!((table.quota_per_s("tenant-00001"), table.quota_per_s("tenant-00002")), (Some(7.5), None));
    assert_eq!((table.len(), table.quota_per_s("new")), (5, Some(3.0)));
}

/// A change arrives twice, after a gap, or corrupted. No part of it must be applied.
#[test]
fn change_for_another_version_or_with_another_digest_changes_nothing() {
    let mut table = list(5);
    let first = next(&table, vec![set("tenant-00001", 2.0)]);
    table.apply(&first).unwrap();
    let before = table.clone();
    assert_eq!(table.apply(&first), Err(ApplyError::Gap));
    let mut second = next(&table, vec![set("tenant-00001", 3.0)]);
    second.digest ^= 1;
    assert_eq!(table.apply(&second), Err(ApplyError::DigestMismatch));
    second.previous.number += 1;
    assert_eq!(table.apply(&second), Err(ApplyError::Gap));
    assert_eq!(table, before);
}

/// A snapshot does not match its digest, or its entries are out of order or invalid. It must be rejected.
#[test]
fn snapshot_is_sent_in_bounded_chunks_and_rejected_with_another_digest() {
    let table = list(34_000);
    let mut builder = SnapshotBuilder::new(table.version(), table.digest());
    let mut wrong = SnapshotBuilder::new(table.version(), table.digest() ^ 1);
    let mut chunks = 0;
    loop {
        let after = builder.last_name().map(str::to_string);
        let Chunk { entries, is_last } = table.chunk(after.as_deref());
        assert!(postcard::to_stdvec(&entries).unwrap().len() <= MAX_CHUNK_BYTES);
        wrong.add_entries(entries.clone()).unwrap();
        builder.add_entries(entries).unwrap();
        chunks += 1;
        if is_last {
            break;
        }
    }
    assert_eq!(builder.finish().unwrap(), table);
    assert!(wrong.finish().unwrap_err().to_string().contains("another digest"));
    println!("34,000 tenants in {chunks} chunks");
    let mut unordered = SnapshotBuilder::new(Version::default(), 0);
    let one = |tenant: &str, quota_per_s| vec![Entry { tenant: tenant.to_string(), quota_per_s }];
    unordered.add_entries(one("b", 1.0)).unwrap();
    assert!(unordered.add_entries(one("a", 1.0)).unwrap_err().to_string().contains("order"));
    assert!(unordered.add_entries(one("c", -1.0)).unwrap_err().to_string().contains("-1"));
}

#[test]
fn change_log_is_bounded_by_count_and_bytes_and_has_no_gap() {
    let mut table = list(2000);
    let mut log = ChangeLog::default();
    for index in 0..400 {
        let change = next(&table, vec![set("tenant-00001", f64::from(index))]);
        table.apply(&change).unwrap();
        log.push(change);
    }
    let number = |number| Version { epoch: 1, number };
    assert_eq!(log.iter().count(), 256);
    assert_eq!(log.after(number(144)).unwrap().count(), 256);
    assert!(log.after(number(143)).is_none() && log.after(number(400)).is_none());
    assert_eq!(log.after(number(399)).unwrap().next().unwrap().version, number(400));
    for index in 0..20 {
        let edits = (0..1500).map(|tenant| set(&format!("tenant-{tenant:05}"), f64::from(index))).collect();
        let change = next(&table, edits);
        table.apply(&change).unwrap();
        log.push(change);
    }
    assert!(log.bytes() <= 256 << 10 && log.iter().count() < 20);
    let mut change_after_gap = next(&table, vec![set("tenant-00001", 1.0)]);
    change_after_gap.previous.number += 5;
    log.push(change_after_gap);
    assert_eq!(log.iter().count(), 1);
}

/// The sender's table changes between two chunks, with names before, at and after the last received one. The assembled
/// snapshot must equal the newest version.
#[test]
fn snapshot_under_assembly_includes_concurrent_changes() {
    let mut table = list(4000);
    let mut builder = SnapshotBuilder::new(table.version(), table.digest());
    let mut step = 0;
    loop {
        let Chunk { entries, is_last } = table.chunk(builder.last_name());
        builder.add_entries(entries).unwrap();
        if is_last {
            break;
        }
        let cursor = builder.last_name().unwrap().to_string();
        let edits = vec![
            set("tenant-00001", f64::from(step)),
            remove(&cursor),
            set("tenant-03999", f64::from(step)),
            add(&format!("tenant-00000-{step}"), 1.0),
            add(&format!("tenant-03998-{step}"), 1.0),
        ];
        let change = next(&table, edits);
        table.apply(&change).unwrap();
        builder.apply_change(&change);
        builder.apply_change(&change);
        step += 1;
    }
    assert!(step >= 2);
    assert_eq!(builder.finish().unwrap(), table);
}
