//! A name's place has to be the one that a walk over all names gives.

use plovershelf_settings::Names;

/// Looks up all the names, what is nearly one of them, and what is none.
fn as_the_walk_gives(names: &[String]) {
    let found: Names = names.iter().cloned().collect();
    assert_eq!(*found, *names);
    let near = |name: &String| {
        let less: String = name.chars().skip(1).collect();
        let cut: String = name.chars().take(name.chars().count().saturating_sub(1)).collect();
        [
            name.clone(),
            format!("{name} "),
            format!(" {name}"),
            format!("{name}\0"),
            name.to_uppercase(),
            less,
            cut,
        ]
    };
    let others = ["", "nobody", "\0", "\u{1f426}"].map(String::from);
    for name in names.iter().flat_map(near).chain(others) {
        assert_eq!(found.place(&name), names.iter().position(|known| *known == name), "{name:?}");
    }
}

fn list(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_name_has_the_place_that_a_walk_gives() {
    as_the_walk_gives(&[]);
    as_the_walk_gives(&list(&[""]));
    as_the_walk_gives(&list(&["acme"]));
    as_the_walk_gives(&list(&["a", "A", "aa", "a ", "", "\u{e9}", "e\u{301}", "\u{e9}\u{301}"]));
}

#[test]
fn of_names_that_stand_twice_the_first_place_counts() {
    let names = list(&["b", "a", "b", "", "a", "c", "", "c"]);
    as_the_walk_gives(&names);
    let found: Names = names.into_iter().collect();
    assert_eq!(["b", "a", "", "c"].map(|name| found.place(name)), [Some(0), Some(1), Some(3), Some(5)]);
}

#[test]
fn many_names_with_some_of_them_twice_are_found() {
    // Numbers without order, a good part of which come again.
    let mut state = 1u32;
    let mut next = || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        state >> 20
    };
    let names: Vec<String> = (0..1500).map(|_| format!("tenant-{}", next())).collect();
    let mut once = names.clone();
    once.sort();
    once.dedup();
    assert!(once.len() < names.len() - 50 && once.len() > 1000);
    as_the_walk_gives(&names);
}

#[test]
fn settings_give_names_their_quotas_places() {
    let text = r#"{"classes": [{"name": "x"}], "family_info": {"cores": 1, "memory_kb": 1},
        "tenants": [{"name": "a", "quota_per_s": 1}, {"name": "b", "quota_per_s": 2},
            {"name": "a", "quota_per_s": 3}]}"#;
    let startup = plovershelf_settings::read(text, 7).expect("settings");
    let quota = |name| startup.tenants.place(name).map(|place| startup.config.tenant_quotas_per_s[place]);
    assert_eq!(["a", "b", "c"].map(quota), [Some(1.0), Some(2.0), None]);
    assert_eq!((startup.classes.place("x"), startup.classes.place("a")), (Some(0), None));
}
