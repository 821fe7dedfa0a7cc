use super::*;

fn names() -> Vec<String> {
    ["quote", "usage-check", "plan-apply"].map(String::from).to_vec()
}

#[test]
fn file_becomes_a_plan_with_defaults_for_missing_keys() {
    let text = "# comment\n[pool cheap]\nofferings = quote, usage-check\n[pool valuable]\nofferings = plan-apply\nweight = 10\n\
                least_runs = 4\n[reserve]\npool = cheap\nshare = 0.1\n";
    let plan = read("pools.ini", text, &names()).expect("a plan");
    assert_eq!((plan.bulkheads[0].classes.clone(), plan.bulkheads[0].reserved_runs), (vec![0, 1], 1));
    assert_eq!((plan.bulkheads[1].weight, plan.bulkheads[1].reserved_runs), (10.0, 4));
    assert_eq!(plan.reserve, Some(Reserve { bulkhead: 0, fraction: 0.1 }));
}

#[test]
fn all_errors_are_reported_at_once_by_section_key_and_value() {
    let text = "[pool a]\nofferings = qoute\nleast_runs = many\nwieght = 2\nweight = 0\n[pool a]\nofferings = quote\n\
                [poool b]\nx = 1\n[reserve]\npool = aa\nshare = 0.9\n";
    let errors = read("pools.ini", text, &names()).expect_err("errors");
    let expected = [
        "pools.ini: [pool a] wieght is no key here; did you mean \"weight\"?",
        "pools.ini: [pool a] offerings: there is no \"qoute\"; did you mean \"quote\"?",
        "pools.ini: [pool a] least_runs = \"many\": a whole number from 0 to 10000",
        "pools.ini: [pool a] weight = \"0\": a number from 0.01 to 10000",
        "pools.ini: [pool a] stands there twice",
        "pools.ini: [poool b] is no section here; [pool NAME] and [reserve] are",
        "pools.ini: [reserve] share = \"0.9\": a number from 0 to 0.5",
        "pools.ini: [reserve] pool = \"aa\": there is no such pool; did you mean \"a\"?",
    ];
    assert_eq!(errors.0, expected);
    assert!(read("pools.ini", "", &names()).is_err());
    assert!(read("pools.ini", "[pool", &names()).expect_err("a syntax error").0[0].contains("line"));
}
