//! By which key a request that is sent again is recognized.

use policy::RequestContent;

const REQUEST: RequestContent<'_> = RequestContent {
    team: Some("team-1"),
    method: "POST",
    hostname: "desk.example",
    path: "/lookup/x?crate=7",
    body: b"crate 7",
};

macro_rules! differs {
    ($($name:ident: $field:ident = $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let other = RequestContent { $field: $value, ..REQUEST };
            assert_ne!(other.key(), REQUEST.key());
        }
    )*};
}

differs! {
    another_team_sends_another_request: team = Some("team-2");
    an_anonymous_caller_is_no_team: team = None;
    another_method_is_another_request: method = "GET";
    another_host_is_another_request: hostname = "desk2.example";
    another_query_is_another_request: path = "/lookup/x?crate=8";
    another_body_is_another_request: body = b"crate 8";
}

#[test]
fn fields_are_kept_apart() {
    let joined = RequestContent {
        hostname: "desk.example/lookup",
        path: "/x?crate=7",
        ..REQUEST
    };
    assert_ne!(joined.key(), REQUEST.key());
}
