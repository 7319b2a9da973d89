//! Checks that all errors of a declarations file are reported at once with their positions, that a
//! difference turns any version into any other, and that applying a file keeps what operators set.

use declarations::{Declarations, Difference, Document};
use expect_test::{Expect, expect};
use proptest::test_runner::{Config, TestRunner};

const HASH_A: &str = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

fn check(text: &str, expected: &Expect) {
    let text = text.replace("HASH_A", HASH_A);
    let found = match Declarations::parse(&text) {
        Ok(_) => "no fault\n".to_owned(),
        Err(diagnostics) => diagnostics.to_string(),
    };
    expected.assert_eq(&found);
}

macro_rules! diagnostics {
    ($($name:ident: $text:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            check($text, &$expected);
        }
    )*};
}

diagnostics! {
    empty_text_is_whole: "" => expect![[r#"
        no fault
    "#]];
    syntax_errors_are_all_found: "[[domains]]\nname = \n\n[[domains]]\nname = 'b\n" => expect![[r#"
        1:1: domain: missing field `region`
        2:8: string values must be quoted, expected literal string
        4:1: domain: missing field `region`
        5:10: invalid literal string, expected `'`
    "#]];
    several_faults_of_one_item: "[[domains]]\nname = 3\nregion = true\nouts = 1\n" => expect![[r#"
        2:8: domain: invalid type: integer `3`, expected a string
        3:10: domain: invalid type: boolean `true`, expected a string
        4:1: domain: unknown field `outs`, expected one of `name`, `region`, `out`
    "#]];
    unknown_section: "[[teans]]\nname = 'a'\n" => expect![[r#"
        1:3: unknown section `teans`, expected one of domains, models, servers, teams, routes, rules, operators
    "#]];
    references_suggest: "[[domains]]\nname = 'nitra-c'\nregion = 'sk'\n[[servers]]\nname = 's'\nkind = 'engine'\nhost = 'h'\ndomain = 'nitra-k'\nmodels = ['m']\nmemory_bytes = 1\n[[rules]]\nname = 'r'\nregions = ['sx']\nteams = ['t']\n" => expect![[r#"
        8:10: no domain `nitra-k` is declared; `nitra-c` is
        9:11: no model `m` is declared
        13:12: no domain lies in region `sx`; `sk` is
        14:10: no team `t` is declared
    "#]];
    duplicates: "[[domains]]\nname = 'a'\nregion = 'r'\n[[domains]]\nname = 'a'\nregion = 'r'\n" => expect![[r#"
        5:8: domain `a` is declared twice
    "#]];
    keys: "[[teams]]\nname = 'a'\nkey_hashes = ['plain', 'HASH_A', 'HASH_A']\nweight = 0\n[[operators]]\nname = 'o'\nkey_hashes = []\n" => expect![[r#"
        3:15: a key hash is `sha256:` and 64 lower-case hexadecimal digits
        3:99: this key hash is used twice
        4:10: weight must be over zero
        7:14: operator without a key
    "#]];
}

#[test]
fn examples_are_whole_and_of_the_stated_size() {
    for (text, engines) in [
        (include_str!("../data/morska-stopa.toml"), 14),
        (include_str!("../data/virtanen.toml"), 20),
    ] {
        let declared = Declarations::parse(text).unwrap();
        assert_eq!(declared.domains.len(), 3);
        assert_eq!(declared.servers.len(), engines + 3);
        assert_eq!(declared.teams.len(), 10);
    }
}

#[test]
fn difference_leads_from_any_version_to_any_other() {
    let full = Declarations::parse(include_str!("../data/virtanen.toml")).unwrap();
    let cfg = Config {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..Config::default()
    };
    let masks = (0u32..1 << 23, 0u32..1 << 23, proptest::bool::ANY);
    let pick = |mask: u32, out: bool| {
        let mut subset = full.clone();
        subset.domains[1].out = out;
        let keep = |index: usize| mask >> (index % 23) & 1 == 1;
        let servers = subset.servers.into_iter().enumerate();
        subset.servers = servers.filter(|(i, _)| keep(*i)).map(|(_, s)| s).collect();
        let teams = subset.teams.into_iter().enumerate();
        subset.teams = teams.filter(|(i, _)| keep(i + 3)).map(|(_, t)| t).collect();
        subset
    };
    let property = |(a, b, out): (u32, u32, bool)| {
        let (old, new) = (pick(a, false), pick(b, out));
        let change = Difference::between(&old, &new);
        let json = serde_json::to_string(&change).unwrap();
        let change: Difference = serde_json::from_str(&json).unwrap();
        assert_eq!(change.apply(&old), new.sorted());
        Ok(())
    };
    TestRunner::new(cfg).run(&masks, property).unwrap();
}

#[test]
fn a_file_does_not_bring_a_domain_back_unless_it_says_so() {
    let text_without_out = "[[domains]]\nname = 'a'\nregion = 'r'\n";
    let file = Document::parse(text_without_out).unwrap();
    let mut active = file.declared.clone();
    active.domains[0].out = true;
    assert!(file.apply_to(&active).domains[0].out);
    let file_setting_out = Document::parse(&format!("{text_without_out}out = false\n")).unwrap();
    assert!(!file_setting_out.apply_to(&active).domains[0].out);
    let summary =
        Difference::between(&active, &file_setting_out.apply_to(&active)).summary(&active);
    assert_eq!(summary.to_string(), "~ domain a\n");
}
