use super::*;

#[test]
fn list_drops_duplicates_and_comments() {
    let text = "# backends\n127.0.0.1:9090\n\n127.0.0.2:9090 # the second\r\n127.0.0.1:9090\n[::1]:9090\n";
    let list = EndpointList::parse(text, 10).expect("valid list");
    assert_eq!((list.addresses.len(), list.duplicates), (3, 1));
}

#[test]
fn invalid_list_is_an_error_that_names_the_line() {
    let error = |text| EndpointList::parse(text, 2).expect_err("invalid list").to_string();
    assert!(error("127.0.0.1:1\nlocalhost:2\n").starts_with("line 2: \"localhost:2\" is not an address"));
    assert!(error("127.0.0.1:0\n").starts_with("line 1"));
    assert!(error("# none\n").starts_with("the list contains no endpoint"));
    assert_eq!(error("127.0.0.1:1\n127.0.0.1:2\n127.0.0.1:3"), "the list contains more than 2 endpoints");
}
