//! Links, commands, settings and examples in the documentation pages are valid.

use clap::Command;
use declarations::Declarations;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use trials::workspace;

const PAGES_AT_ROOT: [&str; 3] = ["README.md", "CONTRIBUTING.md", "CHANGELOG.md"];

fn pages_in(directory: &Path, pages: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            pages_in(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

fn pages() -> Vec<(PathBuf, String)> {
    let root = workspace();
    let mut paths: Vec<PathBuf> = PAGES_AT_ROOT.iter().map(|page| root.join(page)).collect();
    pages_in(&root.join("docs"), &mut paths);
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).unwrap();
        (path, text)
    };
    paths.into_iter().map(read).collect()
}

/// Lines that start with `cargo` or with one of the shipped binaries, also when indented.
fn command_lines(text: &str) -> impl Iterator<Item = &str> {
    let lines = text.lines().map(str::trim);
    lines.filter(|line| {
        ["cargo ", "bergamothold ", "bergamothold-agent "]
            .iter()
            .any(|start| line.starts_with(start))
    })
}

/// Splits a command line at spaces outside single quotes, as a shell does.
fn split_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for letter in line.chars() {
        match letter {
            '\'' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            _ => words.last_mut().unwrap().push(letter),
        }
    }
    words
}

#[test]
fn links_lead_somewhere() {
    for (path, text) in pages() {
        for link in text.split("](").skip(1) {
            let target = link.split([')', '#']).next().unwrap();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let target_path = path.parent().unwrap().join(target);
            assert!(target_path.exists(), "{}: {target}", path.display());
        }
    }
}

#[test]
fn commands_of_the_binaries_parse() {
    for (path, text) in pages() {
        for line in command_lines(&text).filter(|line| line.starts_with("bergamothold")) {
            let words = split_words(line);
            let command = match words[0].as_str() {
                "bergamothold" => gateway::command(),
                _ => agent::command(),
            };
            let parsed = command.try_get_matches_from(&words);
            assert!(parsed.is_ok(), "{}: {line}: {parsed:?}", path.display());
            if words[1] == "query" {
                let statement = query::parse(&words[2]);
                assert!(
                    statement.is_ok(),
                    "{}: {line}: {statement:?}",
                    path.display()
                );
            }
        }
    }
}

#[test]
fn cargo_commands_name_what_exists() {
    let root = workspace();
    for (path, text) in pages() {
        for line in command_lines(&text).filter(|line| line.starts_with("cargo")) {
            let words = split_words(line);
            let examples = words.windows(2).filter(|pair| pair[0] == "--example");
            for pair in examples {
                let name = format!("{}.rs", pair[1]);
                let in_crates = fs::read_dir(root.join("crates")).unwrap();
                let exists = in_crates
                    .map(|package| package.unwrap().path().join("examples").join(&name))
                    .any(|example| example.exists());
                assert!(exists, "{}: {line}", path.display());
            }
        }
    }
}

/// The flags that a command defines itself, without those of clap.
fn flags_of(command: &Command) -> BTreeSet<String> {
    let flags = command.get_arguments().filter_map(|arg| arg.get_long());
    let own_flags = flags.filter(|flag| !["help", "version"].contains(flag));
    own_flags.map(|flag| format!("--{flag}")).collect()
}

/// The flags listed in the table below a heading.
fn flags_in(text: &str, heading: &str) -> BTreeSet<String> {
    let section = text.split(heading).nth(1).unwrap();
    let section = section.split("\n#").next().unwrap();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.map(|row| row.split('`').next().unwrap().to_owned())
        .collect()
}

#[test]
fn settings_are_those_of_help() {
    let text = fs::read_to_string(workspace().join("docs/OPERATORS.md")).unwrap();
    let gateway = gateway::command();
    let serve = gateway.find_subcommand("serve").unwrap();
    assert_eq!(flags_in(&text, "### Gateway\n"), flags_of(serve));
    assert_eq!(flags_in(&text, "### Agent\n"), flags_of(&agent::command()));
}

#[test]
fn declarations_in_pages_are_valid() {
    for (path, text) in pages() {
        for block in text.split("```toml\n").skip(1) {
            let block = block.split("```").next().unwrap();
            let parsed = Declarations::parse(block);
            assert!(parsed.is_ok(), "{}: {parsed:?}", path.display());
        }
    }
}
