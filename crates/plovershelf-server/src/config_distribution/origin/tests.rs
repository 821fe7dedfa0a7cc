use super::*;

fn change(before: u64, quota_per_s: f64) -> Numbered {
    let version = |number| Version { era: if number > 0 { 7 } else { 0 }, number };
    let edits = vec![Edit::Set { tenant: "acme".into(), quota_per_s }];
    Numbered { version: version(before + 1), before: version(before), digest: 1, edits, proposed_ms: 0 }
}

fn word(number: u64, change: &Numbered) -> Word {
    Word { era: 7, number, bytes: plain(change), leader: Some("c1".into()), agrees: true }
}

/// Who asks, and what it is told.
fn asker() -> (Answerer, async_channel::Receiver<Told>) {
    let (to, told) = async_channel::bounded(1);
    (Box::new(move |what| drop(to.try_send(what))), told)
}

fn refused(told: &async_channel::Receiver<Told>, what: &str) -> bool {
    matches!(told.try_recv(), Ok(Told::Refused(why)) if why.contains(what))
}

#[test]
fn of_two_changes_for_one_number_one_is_told_done_and_the_other_what_took_it() {
    let (council, proposed) = async_channel::bounded(16);
    let mut source = Source::new(council, None);
    let (ours, theirs) = (change(0, 5.0), change(0, 6.0));
    let (answer, told) = asker();
    source.propose(0.0, &ours, answer);
    let (answer, other_told) = asker();
    source.propose(0.0, &theirs, answer);
    assert_eq!(proposed.len(), 2);
    assert_eq!(source.hear(word(1, &ours)), Some(Ok(ours.clone())));
    assert_eq!(told.try_recv(), Ok(Told::Done("agreed as number 1".into())));
    assert!(refused(&other_told, "another change took number 1: set \"acme\" to 5"));
    // Told again, as when the leader changes, it is nothing new.
    assert_eq!(source.hear(Word { leader: None, ..word(1, &ours) }), None);
    // A change that does not follow on the council's newest is not proposed at all.
    let (answer, told) = asker();
    source.propose(0.0, &theirs, answer);
    assert!(refused(&told, "change 1 was agreed on and has not come here yet") && proposed.len() == 2);
}

#[test]
fn what_is_not_agreed_in_time_is_said_with_why_and_what_may_still_come() {
    let (council, proposed) = async_channel::bounded(16);
    let mut source = Source::new(council, None);
    let (answer, told) = asker();
    source.propose(0.0, &change(0, 5.0), answer);
    source.tick(1000.0);
    assert_eq!((proposed.len(), source.next_at() <= 2000.0), (2, true));
    source.tick(4000.0);
    assert!(refused(&told, "no leader is known. It may still come into force as number 1"));
    assert_eq!((proposed.len(), source.next_at()), (2, f64::INFINITY));
    let late = word(1, &change(0, 5.0));
    source.hear(Word { agrees: false, ..late.clone() });
    let (answer, told) = asker();
    source.propose(5000.0, &change(1, 6.0), answer);
    source.tick(9000.0);
    assert!(refused(&told, "no majority is heard of; c1 led last"));
    // Two numbers on, it can't be known here which change the first was.
    source.hear(late);
    let (answer, told) = asker();
    source.propose(10_000.0, &change(1, 6.0), answer);
    source.hear(word(3, &change(2, 7.0)));
    assert!(refused(&told, "ask `config history`"));
    assert!(source.hear(Word { bytes: vec![1], ..word(4, &change(3, 1.0)) }).is_some_and(|got| got.is_err()));
}

#[test]
fn what_is_kept_comes_back_whole_or_not_at_all() {
    let folder = std::env::temp_dir().join(format!("plovershelf-kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("content");
    assert_eq!(kept(&file), Ok(None));
    // More than one part.
    let list = (0..5000).map(|n| (format!("tenant-{n:05}"), f64::from(n)));
    let content = Content::initial(list).expect("a content");
    let mut source = Source::new(async_channel::bounded(1).0, Some(file.clone()));
    for content in [&content, &Content::default()] {
        source.keep(content);
        assert_eq!(kept(&file).as_ref(), Ok(&Some(content.clone())));
    }
    source.keep(&content);
    let bytes = std::fs::read(&file).expect("a file");
    let spoilt: Vec<u8> = bytes.iter().enumerate().map(|(at, byte)| byte ^ u8::from(at == 900)).collect();
    for wrong in [&bytes[..bytes.len() - 9], &spoilt, &[][..]] {
        std::fs::write(&file, wrong).expect("a file");
        assert!(kept(&file).is_err_and(|why| why.contains("content: ") && why.contains("move it away")));
    }
    std::fs::remove_dir_all(&folder).expect("its end");
}

/// A file of several parts as an earlier build kept it: version, digest and entries come back, and are kept in the same bytes.
#[test]
fn what_an_earlier_build_kept_comes_back_and_is_kept_in_the_same_bytes() {
    let folder = std::env::temp_dir().join(format!("plovershelf-kept-earlier-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("content");
    let pinned = include_str!("../../../tests/fixtures/content_kept.txt");
    let pinned = pinned.strip_prefix("content ").expect("one line").trim_end();
    let byte = |at: usize| u8::from_str_radix(&pinned[at..at + 2], 16).expect("two hex digits");
    let bytes: Vec<u8> = (0..pinned.len()).step_by(2).map(byte).collect();
    std::fs::write(&file, &bytes).expect("a file");
    let content = kept(&file).expect("it can be used").expect("it is there");
    assert_eq!(content, earlier_content());
    let mut source = Source::new(async_channel::bounded(1).0, Some(file.clone()));
    source.keep(&content);
    assert!(std::fs::read(&file).expect("a file") == bytes);
    std::fs::remove_dir_all(&folder).expect("its end");
}

/// More than one part, at a version that a change led to.
fn earlier_content() -> Content {
    let list = (0..450).map(|n| (format!("tenant-{n:03}-{}", "x".repeat(53)), f64::from(n) + 0.5));
    let mut content = Content::initial(list).expect("a content");
    let edits = vec![Edit::Add { tenant: "acme".into(), quota_per_s: 20.25 }];
    let (version, before) = (Version { era: 3, number: 41 }, Version::default());
    let digest = content.check(&edits).expect("an edit that fits");
    content.apply(&Numbered { version, before, digest, edits, proposed_ms: 7 }).expect("it follows");
    content
}

/// Was run once, before anything was renamed; the fixture is not written again.
#[test]
#[ignore]
fn write_the_file_that_is_kept() {
    let file = std::env::temp_dir().join(format!("plovershelf-kept-pin-{}", std::process::id()));
    Source::new(async_channel::bounded(1).0, Some(file.clone())).keep(&earlier_content());
    let bytes = std::fs::read(&file).expect("a file");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let pin = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/content_kept.txt");
    std::fs::write(pin, format!("content {hex}\n")).expect("a fixture");
}
