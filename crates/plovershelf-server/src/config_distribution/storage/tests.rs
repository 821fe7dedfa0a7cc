use plovershelf_config_distribution::{Change, Edit};

use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("plovershelf-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// An origin stores its table, and the file is cut short, changed in one byte or emptied before the next start. What is
/// loaded must be the whole table, or an error that names the file.
#[test]
fn a_stored_table_comes_back_whole_or_not_at_all() {
    let folder = folder("kept");
    let path = folder.join("content");
    assert!(matches!(load(&path), Ok(None)));
    // More than one chunk.
    let list = (0..5000).map(|n| (format!("tenant-{n:05}"), f64::from(n)));
    let table = QuotaTable::initial(list).expect("a table");
    let mut file = TableFile::new(path.clone());
    for table in [&table, &QuotaTable::default()] {
        file.store(table);
        assert_eq!(load(&path).expect("it can be used").as_ref(), Some(table));
    }
    file.store(&table);
    let bytes = std::fs::read(&path).expect("a file");
    let corrupt: Vec<u8> = bytes.iter().enumerate().map(|(at, byte)| byte ^ u8::from(at == 900)).collect();
    for wrong in [&bytes[..bytes.len() - 9], &corrupt, &[][..]] {
        std::fs::write(&path, wrong).expect("a file");
        let why = load(&path).expect_err("it is not whole").to_string();
        assert!(why.contains("content: ") && why.contains("move it away"), "{why}");
    }
    std::fs::remove_dir_all(&folder).expect("its end");
}

/// A release starts on the folder of the build before it. The table must come back, and be stored in the same bytes, so
/// that the build before can be started again.
#[test]
fn a_table_that_an_earlier_build_stored_comes_back_and_is_stored_in_the_same_bytes() {
    let folder = folder("kept-earlier");
    let path = folder.join("content");
    let pinned = include_str!("../../../tests/fixtures/content_kept.txt");
    let pinned = pinned.strip_prefix("content ").expect("one line").trim_end();
    let byte = |at: usize| u8::from_str_radix(&pinned[at..at + 2], 16).expect("two hex digits");
    let bytes: Vec<u8> = (0..pinned.len()).step_by(2).map(byte).collect();
    std::fs::write(&path, &bytes).expect("a file");
    let table = load(&path).expect("it can be used").expect("it is there");
    assert_eq!(table, earlier_table());
    TableFile::new(path.clone()).store(&table);
    assert!(std::fs::read(&path).expect("a file") == bytes);
    std::fs::remove_dir_all(&folder).expect("its end");
}

/// More than one chunk, at a version that a change led to.
fn earlier_table() -> QuotaTable {
    let list = (0..450).map(|n| (format!("tenant-{n:03}-{}", "x".repeat(53)), f64::from(n) + 0.5));
    let mut table = QuotaTable::initial(list).expect("a table");
    let edits = vec![Edit::Add { tenant: "acme".into(), quota_per_s: 20.25 }];
    let (version, previous) = (Version { epoch: 3, number: 41 }, Version::default());
    let digest = table.validate(&edits).expect("an edit that fits");
    let change = Change { version, previous, digest, edits, proposed_unix_ms: 7 };
    table.apply(&change).expect("it follows");
    table
}
