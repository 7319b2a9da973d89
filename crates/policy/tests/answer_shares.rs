//! Which response is given up when the memory for responses is used up, and how that memory is shared.

use policy::{
    AnswerShares, FREE_ANSWER_BYTES, MAX_ANSWER_BYTES, OpenAnswer, answer_bytes, answer_growth,
    buffer_bytes,
};
use proptest::prelude::*;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

const fn answer(server: u32, held: u64) -> OpenAnswer<u32> {
    OpenAnswer { server, held }
}

/// Index of the answer that is given up for `more` bytes of the answer `asking`; all have grown to what they hold.
fn answer_to_give_up(answers: &[OpenAnswer<u32>], asking: usize, more: u64) -> usize {
    let mut shares = AnswerShares::default();
    for (number, answer) in (0..).zip(answers) {
        shares.on_growth(number, OpenAnswer { held: 0, ..*answer }, answer.held / 2);
        let half = answer.held / 2;
        shares.on_growth(
            number,
            OpenAnswer {
                held: half,
                ..*answer
            },
            answer.held,
        );
    }
    shares.to_give_up(asking as u64, answers[asking], more) as usize
}

macro_rules! given_up {
    ($($name:ident: $answers:expr, $asking:expr, $more:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(answer_to_give_up(&$answers, $asking, $more), $expected);
        }
    )*};
}

given_up! {
    the_only_answer_gives_itself_up: [answer(1, MIB)], 0, KIB => 0;
    the_largest_of_the_greediest_server_is_given_up:
        [answer(1, 3 * MIB), answer(1, 9 * MIB), answer(2, 64 * KIB)], 2, 64 * KIB => 1;
    many_small_ones_count_together:
        [answer(1, MIB), answer(2, 5 * MIB), answer(1, 2 * MIB), answer(1, 3 * MIB)], 1, KIB => 3;
    the_newest_of_those_as_large_is_given_up:
        [answer(1, MIB), answer(1, MIB), answer(2, KIB)], 2, KIB => 1;
    what_is_asked_for_counts: [answer(1, MIB), answer(2, MIB - 1)], 1, 2 => 1;
    an_answer_without_a_share_is_given_up_where_its_server_uses_most:
        [answer(1, 8 * KIB), answer(2, 0)], 1, 16 * KIB => 1;
    a_server_that_asks_for_as_much_as_another_has_gives_up_its_own:
        [answer(1, MIB), answer(2, MIB - KIB)], 1, KIB => 1;
}

/// Memory of one host, shared as the gateway shares it.
struct Memory {
    limit: u64,
    answers: Vec<OpenAnswer<u32>>,
}

impl Memory {
    fn used(&self) -> u64 {
        self.answers.iter().map(|answer| answer.held).sum()
    }

    /// Reads more of a body; returns the servers whose bodies are given up for it.
    fn grow(&mut self, mut index: usize) -> Vec<u32> {
        let more = answer_growth(self.answers[index].held);
        let mut given_up = Vec::new();
        while self.used() + more > self.limit {
            let loses = answer_to_give_up(&self.answers, index, more);
            given_up.push(self.answers.remove(loses).server);
            match loses.cmp(&index) {
                std::cmp::Ordering::Less => index -= 1,
                std::cmp::Ordering::Equal => return given_up,
                std::cmp::Ordering::Greater => {}
            }
        }
        self.answers[index].held += more;
        given_up
    }
}

proptest! {
    /// Servers send without end, many bodies each, beside one whose bodies take less than its share. Each of
    /// its bodies is read to its end, and the limit holds.
    #[test]
    fn a_server_within_its_share_loses_nothing(
        faulty in 1_u32..8,
        turns in prop::collection::vec((0_u32..9, any::<prop::sample::Index>()), 1..500),
    ) {
        let limit = MIB;
        let share = limit / u64::from(faulty + 1);
        let mut memory = Memory { limit, answers: Vec::new() };
        for (server, index) in turns {
            let server = server % (faulty + 1);
            let used = memory.answers.iter().filter(|answer| answer.server == server);
            let used = used.map(|answer| answer.held).sum::<u64>();
            if server == 0 && used + 64 * KIB > share {
                memory.answers.retain(|answer| answer.server != 0);
            }
            memory.answers.push(answer(server, 0));
            let own = (0..memory.answers.len()).filter(|n| memory.answers[*n].server == server);
            let own = own.collect::<Vec<_>>();
            let given_up = memory.grow(*index.get(&own));
            prop_assert!(!given_up.contains(&0));
            prop_assert!(memory.used() <= limit);
        }
    }
}

/// What ended answers have used counts no longer.
#[test]
fn ended_answers_have_no_share() {
    let mut shares = AnswerShares::default();
    shares.on_growth(0, answer(1, 0), 9 * MIB);
    shares.on_growth(1, answer(2, 0), MIB);
    assert_eq!(shares.to_give_up(1, answer(2, MIB), KIB), 0);
    shares.on_end(0, answer(1, 9 * MIB));
    assert_eq!(shares.to_give_up(1, answer(2, MIB), KIB), 1);
}

#[test]
fn memory_is_a_part_of_the_hosts() {
    assert_eq!(buffer_bytes(160 * MIB), 32 * MIB);
    assert_eq!(buffer_bytes(64 * MIB), 64 * MIB / 5);
    assert_eq!(buffer_bytes(2_000 * MIB), 32 * MIB, "more is of no use");
    assert_eq!(buffer_bytes(0), 0);
}

/// The largest response fits, and leaves memory for requests and slow readers.
#[test]
fn the_largest_answer_fits_on_the_smallest_host() {
    let buffers = buffer_bytes(160_000_000);
    assert!(answer_bytes(buffers) > MAX_ANSWER_BYTES);
    assert!(buffers - answer_bytes(buffers) > 6 * MIB);
}

#[test]
fn memory_grows_in_pieces_that_are_bounded() {
    let mut held = 0;
    let mut pieces = 0;
    while held < MAX_ANSWER_BYTES {
        let more = answer_growth(held);
        assert!((FREE_ANSWER_BYTES..=64 * KIB).contains(&more));
        held += more;
        pieces += 1;
    }
    assert!(pieces < 300, "{pieces} pieces");
}
