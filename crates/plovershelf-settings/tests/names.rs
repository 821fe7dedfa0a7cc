//! Compares the hashed lookup of names with a linear search.

use plovershelf_settings::Names;

/// Looks up all names, variants of each, and unknown names.
fn assert_matches_linear_search(names: &[String]) {
    let indexed: Names = names.iter().cloned().collect();
    assert_eq!(*indexed, *names);
    let variants = |name: &String| {
        let without_first: String = name.chars().skip(1).collect();
        let without_last: String = name.chars().take(name.chars().count().saturating_sub(1)).collect();
        [
            name.clone(),
            format!("{name} "),
            format!(" {name}"),
            format!("{name}\0"),
            name.to_uppercase(),
            without_first,
            without_last,
        ]
    };
    let unknown = ["", "nobody", "\0", "\u{1f426}"].map(String::from);
    for name in names.iter().flat_map(variants).chain(unknown) {
        assert_eq!(indexed.place(&name), names.iter().position(|known| *known == name), "{name:?}");
    }
}

fn list(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_name_has_the_index_that_a_linear_search_finds() {
    assert_matches_linear_search(&[]);
    assert_matches_linear_search(&list(&[""]));
    assert_matches_linear_search(&list(&["acme"]));
    assert_matches_linear_search(&list(&["a", "A", "aa", "a ", "", "\u{e9}", "e\u{301}", "\u{e9}\u{301}"]));
}

#[test]
fn a_duplicate_name_has_its_first_index() {
    let names = list(&["b", "a", "b", "", "a", "c", "", "c"]);
    assert_matches_linear_search(&names);
    let indexed: Names = names.into_iter().collect();
    assert_eq!(["b", "a", "", "c"].map(|name| indexed.place(name)), [Some(0), Some(1), Some(3), Some(5)]);
}

#[test]
fn many_names_with_duplicates_are_found() {
    // Pseudo-random numbers, many of which repeat.
    let mut state = 1u32;
    let mut next = || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        state >> 20
    };
    let names: Vec<String> = (0..1500).map(|_| format!("tenant-{}", next())).collect();
    let mut distinct = names.clone();
    distinct.sort();
    distinct.dedup();
    assert!(distinct.len() < names.len() - 50 && distinct.len() > 1000);
    assert_matches_linear_search(&names);
}

#[test]
fn names_have_the_indices_of_their_quotas() {
    let text = r#"{"classes": [{"name": "x"}], "family_info": {"cores": 1, "memory_kb": 1},
        "tenants": [{"name": "a", "quota_per_s": 1}, {"name": "b", "quota_per_s": 2},
            {"name": "a", "quota_per_s": 3}]}"#;
    let startup = plovershelf_settings::read(text, 7).expect("settings");
    let quota = |name| startup.tenants.place(name).map(|index| startup.config.tenant_quotas_per_s[index]);
    assert_eq!(["a", "b", "c"].map(quota), [Some(1.0), Some(2.0), None]);
    assert_eq!((startup.classes.place("x"), startup.classes.place("a")), (Some(0), None));
}
