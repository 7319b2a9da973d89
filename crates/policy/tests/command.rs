//! A command takes effect at most once, whatever requests or responses the store loses and whatever
//! other operators commit at the same time.

use declarations::Declarations;
use policy::{
    CONFIG_HEAD_KEY, CONFIG_KEY, CommandAction, CommandEvent, CommandOutcome, CommandRequest,
    CommandRun, ConfigCommand, ConfigRow, ConfigTransaction, StoredRow,
};
use std::collections::BTreeMap;

const TEXT: &str =
    "[[domains]]\nname = 'nitra-c'\nregion = 'sk'\n[[domains]]\nname = 'trnava-b'\nregion = 'sk'\n";

/// A table service that injects faults into the next reads and commits.
#[derive(Default)]
struct Store {
    rows: BTreeMap<Box<str>, (Box<str>, u64)>,
    commits: usize,
    failing_reads: usize,
    faults: Vec<Fault>,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// The commit takes effect, but its response is lost.
    ResponseLost,
    /// The commit does not arrive, so there is no response.
    RequestLost,
    /// The store rejects the commit; nothing changes.
    Refused,
    /// The commit arrives after the next one, and there is no response.
    Late,
    None,
}

impl Store {
    fn seeded() -> Self {
        let mut store = Self::default();
        let outcome = run(
            &mut store,
            request(
                "seed",
                ConfigCommand::Replace(Box::new(Declarations::parse(TEXT).unwrap())),
            ),
        );
        assert!(matches!(
            outcome,
            CommandOutcome::Committed { version: 1, .. }
        ));
        store.commits = 0;
        store
    }

    fn read(&mut self, keys: &[Box<str>]) -> CommandEvent {
        if self.failing_reads > 0 {
            self.failing_reads -= 1;
            return CommandEvent::ReadFailed;
        }
        let row = |key: &str| {
            let (value, version) = self.rows.get(key)?.clone();
            Some(StoredRow {
                key: key.into(),
                value,
                version,
            })
        };
        CommandEvent::Rows(keys.iter().filter_map(|key| row(key)).collect())
    }

    fn commit(&mut self, transaction: &ConfigTransaction) -> bool {
        let holds = transaction.conditions.iter().all(|condition| {
            self.rows
                .get(&condition.key)
                .map_or(0, |(_, version)| *version)
                == condition.version
        });
        if holds {
            self.commits += 1;
            for write in &transaction.writes {
                let row = self.rows.entry(write.key.clone()).or_default();
                *row = (write.value.clone(), row.1 + 1);
            }
        }
        holds
    }

    fn current(&self) -> ConfigRow {
        serde_json::from_str(&self.rows[CONFIG_KEY].0).unwrap()
    }

    fn is_out(&self, domain: &str) -> bool {
        self.current().declarations.domain(domain).unwrap().out
    }
}

fn request(id: &str, command: ConfigCommand) -> CommandRequest {
    CommandRequest {
        id: id.into(),
        operator: "day-desk".into(),
        text: format!("{command:?}").into(),
        command,
        if_version: None,
        known_version: 0,
    }
}

fn set_domain_out(id: &str, domain: &str, out: bool) -> CommandRequest {
    let domain = domain.into();
    request(id, ConfigCommand::SetDomainOut { domain, out })
}

fn run(store: &mut Store, request: CommandRequest) -> CommandOutcome {
    run_between(store, request, |_, _| {})
}

/// Runs a command and calls `before` before each of its commits, with the number of actions so far.
fn run_between(
    store: &mut Store,
    request: CommandRequest,
    mut before: impl FnMut(&mut Store, usize),
) -> CommandOutcome {
    let (mut run, mut action) = CommandRun::start(request);
    let mut late = None;
    for actions in 0.. {
        let event = match action {
            CommandAction::Read { keys, .. } => store.read(&keys),
            CommandAction::Commit(transaction) => {
                before(store, actions);
                let fault = store.faults.pop().unwrap_or(Fault::None);
                let event = match fault {
                    Fault::RequestLost => CommandEvent::Unknown,
                    Fault::Refused => CommandEvent::Unavailable,
                    Fault::Late => {
                        late = Some(transaction);
                        CommandEvent::Unknown
                    }
                    Fault::ResponseLost => {
                        store.commit(&transaction);
                        CommandEvent::Unknown
                    }
                    Fault::None if store.commit(&transaction) => CommandEvent::Committed,
                    Fault::None => CommandEvent::Conflict,
                };
                if fault != Fault::Late
                    && let Some(late) = late.take()
                {
                    store.commit(&late);
                }
                event
            }
            CommandAction::Done(outcome) => return outcome,
        };
        action = run.handle(event);
    }
    unreachable!()
}

#[test]
fn every_pair_of_faults_of_the_store_leaves_one_effect() {
    use Fault::{None, Refused, RequestLost, ResponseLost};
    for first in [None, ResponseLost, RequestLost, Refused, Fault::Late] {
        for second in [None, ResponseLost, RequestLost, Refused, Fault::Late] {
            for failing_reads in 0..5 {
                let mut store = Store::seeded();
                store.faults = vec![second, first];
                store.failing_reads = failing_reads;
                let outcome = run(&mut store, set_domain_out("c1", "nitra-c", true));
                match outcome {
                    CommandOutcome::Committed { version, .. } => {
                        assert_eq!((version, store.commits), (2, 1));
                    }
                    CommandOutcome::Unavailable => assert_eq!(store.commits, 0),
                    CommandOutcome::Unknown => {}
                    outcome => panic!("{outcome:?}"),
                }
                store.faults.clear();
                store.failing_reads = 0;
                let again = run(&mut store, set_domain_out("c1", "nitra-c", true));
                assert!(
                    matches!(again, CommandOutcome::Committed { version: 2, .. }),
                    "{again:?}"
                );
                assert_eq!(store.commits, 1, "asked again with one effect");
                assert!(store.is_out("nitra-c"));
            }
        }
    }
}

#[test]
fn one_of_two_racing_operators_wins_and_the_other_is_told() {
    let mut store = Store::seeded();
    let outcome = run_between(
        &mut store,
        set_domain_out("c1", "nitra-c", true),
        |store, actions| {
            if actions == 1 {
                let mut rival = set_domain_out("c2", "nitra-c", false);
                rival.operator = "night-desk".into();
                rival.command = ConfigCommand::SetDomainOut {
                    domain: "trnava-b".into(),
                    out: true,
                };
                assert!(matches!(
                    run(store, rival),
                    CommandOutcome::Committed { version: 2, .. }
                ));
            }
        },
    );
    let conflict = CommandOutcome::Conflict {
        version: 2,
        by: "night-desk".into(),
        change: "~ domain trnava-b\n".into(),
    };
    assert_eq!(outcome, conflict);
    assert!(!store.is_out("nitra-c"));
}

#[test]
fn a_command_made_against_an_older_version_loses() {
    let mut store = Store::seeded();
    run(&mut store, set_domain_out("c1", "nitra-c", true));
    let mut late = set_domain_out("c2", "trnava-b", true);
    late.if_version = Some(1);
    assert!(matches!(
        run(&mut store, late),
        CommandOutcome::Conflict { version: 2, .. }
    ));
    assert!(!store.is_out("trnava-b"));
}

#[test]
fn an_id_serves_one_command_only() {
    let mut store = Store::seeded();
    run(&mut store, set_domain_out("c1", "nitra-c", true));
    assert!(matches!(
        run(&mut store, set_domain_out("c1", "trnava-b", true)),
        CommandOutcome::Rejected(_)
    ));
    let unchanged = run(&mut store, set_domain_out("c2", "nitra-c", true));
    assert_eq!(unchanged, CommandOutcome::Unchanged { version: 2 });
    let unknown = run(&mut store, set_domain_out("c3", "nitra-k", true));
    let reason = "no domain `nitra-k` is declared; did you mean `nitra-c`?";
    assert_eq!(unknown, CommandOutcome::Rejected(reason.into()));
}

#[test]
fn rolling_goes_forward_to_the_content_of_any_earlier_version() {
    let mut store = Store::seeded();
    let mut contents = vec![store.current().declarations];
    for (index, (domain, out)) in [("nitra-c", true), ("trnava-b", true), ("nitra-c", false)]
        .into_iter()
        .enumerate()
    {
        run(
            &mut store,
            set_domain_out(&format!("c{index}"), domain, out),
        );
        contents.push(store.current().declarations);
    }
    let mut replacement = contents[0].clone();
    replacement.domains.remove(0);
    run(
        &mut store,
        request("c9", ConfigCommand::Replace(Box::new(replacement))),
    );
    for to in 1..=4 {
        let outcome = run(
            &mut store,
            request(&format!("roll-{to}"), ConfigCommand::Rollback { to }),
        );
        assert!(
            matches!(outcome, CommandOutcome::Committed { .. }),
            "{outcome:?}"
        );
        assert_eq!(store.current().declarations, contents[to as usize - 1]);
    }
    assert_eq!(store.current().version, 9);
    let none = run(
        &mut store,
        request("roll-9", ConfigCommand::Rollback { to: 9 }),
    );
    assert!(matches!(none, CommandOutcome::Rejected(_)));
}

#[test]
fn a_store_that_lost_versions_gets_a_higher_one() {
    let mut store = Store::seeded();
    let mut command = set_domain_out("c1", "nitra-c", true);
    command.known_version = 9;
    assert!(matches!(
        run(&mut store, command),
        CommandOutcome::Committed { version: 10, .. }
    ));
    assert_eq!(&*store.rows[CONFIG_HEAD_KEY].0, "{\"version\":10}");
}
