use super::*;

#[test]
fn list_names_each_endpoint_once_and_skips_comments() {
    let text = "# ours\n127.0.0.1:9090\n\n127.0.0.2:9090 # the second\r\n127.0.0.1:9090\n[::1]:9090\n";
    let list = EndpointList::parse(text, 10).expect("a list");
    assert_eq!((list.addresses.len(), list.duplicates), (3, 1));
}

#[test]
fn text_that_is_no_list_is_an_error_that_names_the_line() {
    let at = |text| EndpointList::parse(text, 2).expect_err("no list").to_string();
    assert!(at("127.0.0.1:1\nlocalhost:2\n").starts_with("line 2: \"localhost:2\" is no address"));
    assert!(at("127.0.0.1:0\n").starts_with("line 1"));
    assert!(at("# none\n").starts_with("it names no member"));
    assert_eq!(at("127.0.0.1:1\n127.0.0.1:2\n127.0.0.1:3"), "it names more than 2 members");
}
