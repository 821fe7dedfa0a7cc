use plovershelf_config_distribution::{Change, Edit};

use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("plovershelf-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// The stored file is truncated, corrupted in one byte or emptied before the next start. Loading must return the
/// whole table, or an error that names the file.
#[test]
fn stored_table_is_loaded_whole_or_rejected() {
    let folder = folder("stored");
    let path = folder.join("content");
    assert!(matches!(load(&path), Ok(None)));
    // More than one chunk.
    let tenants = (0..5000).map(|n| (format!("tenant-{n:05}"), f64::from(n)));
    let table = QuotaTable::initial(tenants).expect("a table");
    let mut file = TableFile::new(path.clone());
    for table in [&table, &QuotaTable::default()] {
        file.store(table);
        assert_eq!(load(&path).expect("a valid table").as_ref(), Some(table));
    }
    file.store(&table);
    let bytes = std::fs::read(&path).expect("a file");
    let corrupt: Vec<u8> =
        bytes.iter().enumerate().map(|(index, byte)| byte ^ u8::from(index == 900)).collect();
    for invalid in [&bytes[..bytes.len() - 9], &corrupt, &[][..]] {
        std::fs::write(&path, invalid).expect("a file");
        let reason = load(&path).expect_err("an incomplete table").to_string();
        assert!(reason.contains("content: ") && reason.contains("move it away"), "{reason}");
    }
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

/// An upgraded process starts with the folder of an earlier build. It must load the table and store it with the same
/// bytes, so that a downgrade remains possible.
#[test]
fn table_of_an_earlier_build_is_loaded_and_stored_with_the_same_bytes() {
    let folder = folder("stored-earlier");
    let path = folder.join("content");
    let hex = include_str!("../../../tests/fixtures/content_kept.txt");
    let hex = hex.strip_prefix("content ").expect("one line").trim_end();
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    std::fs::write(&path, &bytes).expect("a file");
    let table = load(&path).expect("a valid table").expect("a stored table");
    assert_eq!(table, earlier_table());
    TableFile::new(path.clone()).store(&table);
    assert!(std::fs::read(&path).expect("a file") == bytes);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

/// Returns a table of more than one chunk, at a version that a change led to.
fn earlier_table() -> QuotaTable {
    let tenants = (0..450).map(|n| (format!("tenant-{n:03}-{}", "x".repeat(53)), f64::from(n) + 0.5));
    let mut table = QuotaTable::initial(tenants).expect("a table");
    let edits = vec![Edit::Add { tenant: "acme".into(), quota_per_s: 20.25 }];
    let (version, previous) = (Version { epoch: 3, number: 41 }, Version::default());
    let digest = table.validate(&edits).expect("a valid edit");
    let change = Change { version, previous, digest, edits, proposed_unix_ms: 7 };
    table.apply(&change).expect("the change applies");
    table
}
