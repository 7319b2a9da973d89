//! Direct gateways as processes before engines that a part of some prompts crashes. What counts is
//! what the engines and the callers see.

mod crashing_servers;

use crashing_servers::{
    CrashingServers, KEY, PROMPT_TOKENS, Service, share_served, wait_until_served,
};
use hyper::StatusCode;
use runtime::{Executor, Task};
use standins::{ExecutedRequest, ServerKind};
use std::time::{Duration, Instant};
use trials::{CallerAnswer, DirectGateway, DirectRig};

/// Part that crashes engines.
const FATAL_PART: &str = "bad0";
/// Part that all prompts share.
const COMMON_PART: &str = "a1";
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(80);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Crashes after which the users of the platform count, and the time that the gateways have then.
const COUNTED_CRASHES: usize = 5;
const NOTICE: Duration = Duration::from_secs(3);
/// Time for which the requests are counted.
const COUNTED_SPAN: Duration = Duration::from_secs(4);
/// Requests with the part that may reach engines within the counted span, and after it.
const ALLOWED_SENDS: usize = 3;

const ENGINES: Service = Service {
    name: "engines",
    kind: ServerKind::Engine,
    servers: 5,
    keeps_addresses: false,
    set_up: |engine| {
        engine.set_event_interval(EVENT_INTERVAL);
        engine.set_fatal_part(FATAL_PART);
    },
};

fn has_fatal_part(request: &ExecutedRequest) -> bool {
    let parts = request.prompt_parts.as_deref().unwrap_or_default();
    parts.contains(FATAL_PART)
}

/// Requests that callers send to the gateways in turn.
struct Callers<'a> {
    executor: &'a Executor,
    gateways: Vec<&'a DirectGateway>,
    sent: usize,
}

impl Callers<'_> {
    fn send(&mut self, shared_parts: &str) -> Task<CallerAnswer> {
        self.sent += 1;
        let gateway = self.gateways[self.sent % self.gateways.len()];
        let own_part = format!("{:x}", 0xe000_0000_u64 + self.sent as u64);
        let parts = format!("{shared_parts},{own_part}:100");
        let caller = gateway.caller().with_prompt_parts(&parts);
        let id = format!("request-{}", self.sent);
        self.executor
            .spawn(async move { caller.call(&id, "/stream/x", KEY, PROMPT_TOKENS).await })
    }
}

/// What callers and engines saw once five engines had crashed and the gateways had had their time.
struct Seen {
    fatal_sends: usize,
    crashes: usize,
    sound: Vec<CallerAnswer>,
    fatal: Vec<CallerAnswer>,
}

/// Sends prompts with the fatal part and sound ones to the gateways by turns, and counts from the
/// fifth crash on, or from `max_wait` on if there are fewer.
async fn run(
    engines: &mut CrashingServers<'_>,
    callers: &mut Callers<'_>,
    max_wait: Duration,
) -> Seen {
    let start = Instant::now();
    let (mut sound, mut fatal) = (Vec::new(), Vec::new());
    let mut counted_from = None;
    loop {
        let now = Instant::now();
        if counted_from.is_none()
            && (engines.crashes.len() >= COUNTED_CRASHES || start.elapsed() > max_wait)
        {
            counted_from = Some(now + NOTICE);
        }
        if counted_from.is_some_and(|from| now >= from + COUNTED_SPAN) {
            break;
        }
        let is_counted = counted_from.is_some_and(|from| now >= from);
        let prompt = format!("{COMMON_PART}:40,{FATAL_PART}:400");
        fatal.push((is_counted, callers.send(&prompt)));
        for _ in 0..2 {
            let prompt = format!("{COMMON_PART}:40,c{:x}:400", callers.sent % 7);
            sound.push((is_counted, callers.send(&prompt)));
        }
        async_io::Timer::after(REQUEST_INTERVAL).await;
        engines.replace_crashed();
    }
    let mut answers = async |tasks: Vec<(bool, Task<CallerAnswer>)>| {
        let mut answers = Vec::new();
        for (is_counted, task) in tasks {
            let answer = task.await;
            engines.replace_crashed();
            answers.extend(is_counted.then_some(answer));
        }
        answers
    };
    let (sound, fatal) = (answers(sound).await, answers(fatal).await);
    Seen {
        fatal_sends: counted_from.map_or(0, |from| engines.arrivals_since(from, has_fatal_part)),
        crashes: engines.crashes.len(),
        sound,
        fatal,
    }
}

/// Each engine that began to answer a prompt with the part crashed, and three gateways sent such
/// prompts to engine after engine. Sound prompts that shared their other parts died with the engines.
#[test]
fn prompts_with_a_part_that_crashes_engines_are_no_longer_sent() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let store = rig.store.local_addr();
        let others = ["gateway-2", "gateway-3"].map(|name| rig.add_gateway(name, store).unwrap());
        let gateways = vec![&rig.gateway, &others[0], &others[1]];
        let mut engines = CrashingServers::start(&rig, ENGINES);
        for gateway in &gateways {
            wait_until_served(&rig, gateway, "/stream/x").await;
        }
        let mut callers = Callers {
            executor: &executor,
            gateways,
            sent: 0,
        };
        let seen = run(&mut engines, &mut callers, Duration::from_secs(4)).await;
        assert!(
            seen.fatal_sends <= ALLOWED_SENDS,
            "{} sends with the part once it was known, {} engines crashed in all",
            seen.fatal_sends,
            seen.crashes
        );
        let share = share_served(&seen.sound);
        assert!(share > 0.5, "sound prompts served: {share}");
        for answer in &seen.fatal {
            assert_ne!(answer.status, StatusCode::OK);
            assert!(answer.seal.is_none(), "{answer:?}");
        }
    });
}
