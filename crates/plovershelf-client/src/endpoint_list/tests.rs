use super::*;

#[test]
fn a_list_names_each_member_once_and_skips_remarks() {
    let text = "# ours\n127.0.0.1:9090\n\n127.0.0.2:9090 # the second\r\n127.0.0.1:9090\n[::1]:9090\n";
    let list = MemberList::parse(text, 10).expect("a list");
    assert_eq!((list.members.len(), list.doubled), (3, 1));
}

#[test]
fn what_is_no_list_is_named_by_its_line() {
    let at = |text| MemberList::parse(text, 2).expect_err("no list").to_string();
    assert!(at("127.0.0.1:1\nlocalhost:2\n").starts_with("line 2: \"localhost:2\" is no address"));
    assert!(at("127.0.0.1:0\n").starts_with("line 1"));
    assert!(at("# none\n").starts_with("it names no member"));
    assert_eq!(at("127.0.0.1:1\n127.0.0.1:2\n127.0.0.1:3"), "it names more than 2 members");
}
