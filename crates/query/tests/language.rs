//! Checks the parsing of statements, the errors for invalid ones, and which rows a query selects.

use expect_test::{Expect, expect};
use proptest::prelude::any;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use query::{Statement, Subject, Table, Value, parse};

fn check(text: &str, expected: &Expect) {
    let found = match parse(text) {
        Ok(statement) => serde_json::to_string(&statement).unwrap(),
        Err(err) => err.to_string(),
    };
    expected.assert_eq(&(found + "\n"));
    if let Ok(statement) = parse(text) {
        let json = serde_json::to_string(&statement).unwrap();
        assert_eq!(serde_json::from_str::<Statement>(&json).unwrap(), statement);
    }
}

macro_rules! statements {
    ($($name:ident: $text:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            check($text, &$expected);
        }
    )*};
}

statements! {
    servers_of_a_domain: "show servers where domain = bratislava-a" => expect![[r#"
        {"show":{"subject":"servers","condition":{"compare":{"column":"domain","comparison":"equal","value":"bratislava-a"}},"since":null,"order":[],"limit":null}}
    "#]];
    long_requests: "show requests where tokens > 100k and (age >= 2.5s or not team = counters) order by age desc, team limit 5" => expect![[r#"
        {"show":{"subject":"requests","condition":{"all":[{"compare":{"column":"tokens","comparison":"greater","value":100000}},{"any":[{"compare":{"column":"age","comparison":"at-least","value":2.5}},{"not":{"compare":{"column":"team","comparison":"equal","value":"counters"}}}]}]},"since":null,"order":[{"column":"age","descending":true},{"column":"team","descending":false}],"limit":5}}
    "#]];
    timeline: "show timeline since 5m where server = 'drafting-01'" => expect![[r#"
        {"show":{"subject":"timeline","condition":{"compare":{"column":"server","comparison":"equal","value":"drafting-01"}},"since":{"secs":300,"nanos":0},"order":[],"limit":null}}
    "#]];
    take: "take domain nitra-c out if version 7" => expect![[r#"
        {"take-domain":{"domain":"nitra-c","if_version":7}}
    "#]];
    bring: "bring domain nitra-c back" => expect![[r#"
        {"bring-domain":{"domain":"nitra-c","if_version":null}}
    "#]];
    drain: "DRAIN SERVER planning-03" => expect![[r#"
        {"drain-server":{"server":"planning-03","if_version":null}}
    "#]];
    roll: "roll to version 12" => expect![[r#"
        {"roll":{"to":12,"if_version":null}}
    "#]];
    explain: "explain request 00ff" => expect![[r#"
        {"explain":{"request":"00ff"}}
    "#]];
    empty: "" => expect![[r#"

        ^ expected `show`, `explain`, `take`, `bring`, `drain`, `undrain`, `roll`
    "#]];
    wrong_start: "shwo servers" => expect![[r#"
        shwo servers
        ^^^^ expected `show`, `explain`, `take`, `bring`, `drain`, `undrain`, `roll`; did you mean `show`?
    "#]];
    wrong_subject: "show sarvers" => expect![[r#"
        show sarvers
             ^^^^^^^ expected `servers`, `requests`, `teams`, `models`, `domains`, `hosts`, `history`, `refusals`, `timeline`; did you mean `servers`?
    "#]];
    wrong_clause: "show servers wher domain = a" => expect![[r#"
        show servers wher domain = a
                     ^^^^ unexpected word after the end; did you mean `where`?
    "#]];
    wrong_column: "show servers where domian = a" => expect![[r#"
        show servers where domian = a
                           ^^^^^^ servers have no such column; they have server, domain, kind, state, warmth, outstanding, limit, queue, free_tokens, version, node; did you mean `domain`?
    "#]];
    wrong_value: "show requests where tokens > many" => expect![[r#"
        show requests where tokens > many
                                     ^^^^ expected a number, such as 12, 1.5 or 100k
    "#]];
    wrong_sign: "show requests where tokens is 3" => expect![[r#"
        show requests where tokens is 3
                                   ^^ expected `=`, `!=`, `<`, `<=`, `>`, `>=`, `~`
    "#]];
    cut_short: "take domain nitra-c" => expect![[r#"
        take domain nitra-c
                           ^ expected `out`
    "#]];
    wrong_end: "take domain nitra-c aut" => expect![[r#"
        take domain nitra-c aut
                            ^^^ expected `out`; did you mean `out`?
    "#]];
    too_much: "drain server a b" => expect![[r#"
        drain server a b
                       ^ unexpected word after the end
    "#]];
    open_bracket: "show teams where (team = a" => expect![[r#"
        show teams where (team = a
                                  ^ expected `)`
    "#]];
    stray: "show teams; drop" => expect![[r#"
        show teams; drop
                  ^ unexpected word after the end
    "#]];
}

fn domains() -> Table {
    let mut table = Table::new(Subject::Domains);
    for (name, out, servers) in [
        ("nitra-c", true, 5),
        ("bratislava-a", false, 6),
        ("trnava-b", false, 6),
    ] {
        let text = |text: &str| Value::Text(text.into());
        table.push(vec![
            text(name),
            text("sk-west"),
            Value::Flag(out),
            Value::Count(servers),
        ]);
    }
    table
}

#[test]
fn rows_are_chosen_ordered_and_cut() {
    let Ok(Statement::Show(show)) =
        parse("show domains where servers >= 5 order by servers desc, domain limit 2")
    else {
        panic!("must parse");
    };
    let mut table = domains();
    table.select(&show);
    expect![[r#"
        DOMAIN        REGION   OUT  SERVERS  DRAINED
        bratislava-a  sk-west  no         6  -
        trnava-b      sk-west  no         6  -
    "#]]
    .assert_eq(&table.to_string());
    expect![[r#"[{"domain":"bratislava-a","drained":null,"out":false,"region":"sk-west","servers":6},{"domain":"trnava-b","drained":null,"out":false,"region":"sk-west","servers":6}]"#]].assert_eq(&table.to_json().to_string());
}

#[test]
fn no_text_brings_the_parser_down() {
    let cfg = Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..Config::default()
    };
    let words = proptest::collection::vec(
        proptest::sample::select(vec![
            "show", "servers", "where", "domain", "=", "(", ")", "not", "and", "order", "by", "'",
            "5m", "limit", "€",
        ]),
        0..40,
    );
    let property = |(text, words): (String, Vec<&str>)| {
        parse_any(&text);
        parse_any(&words.join(" "));
        Ok(())
    };
    TestRunner::new(cfg)
        .run(&(any::<String>(), words), property)
        .unwrap();
    for word in ["(", "not ", "not ("] {
        parse_any(&("show teams where ".to_owned() + &word.repeat(10_000)));
    }
}

/// Parses a text, which must not panic, and checks that an error can be displayed.
fn parse_any(text: &str) {
    if let Err(err) = parse(text) {
        let word = text.get(err.span.clone());
        assert!(word.is_some(), "the span fits the text");
        assert!(!err.to_string().is_empty());
    }
}
