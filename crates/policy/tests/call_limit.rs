//! How many calls a gateway handles at once, by the memory of its host.

use policy::{OpenCallCounts, buffer_bytes, max_calls, takes_call};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

macro_rules! limits {
    ($($name:ident: $host_mib:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(max_calls($host_mib * MIB), $expected);
        }
    )*};
}

limits! {
    the_smallest_hosts_have_memory_for_over_a_thousand: 160 => 1_462;
    hosts_of_260_mib_have_memory_for_three_thousand: 260 => 3_108;
    a_host_without_memory_takes_some: 0 => 64;
    a_host_with_little_memory_takes_some: 40 => 64;
}

const HOST: u64 = 160 * MIB;

fn takes(all: usize, of_service: usize) -> bool {
    takes_call(OpenCallCounts { all, of_service }, HOST)
}

/// Calls that come for services in turn until none of them is taken, by service.
fn taken(services: usize) -> Vec<usize> {
    let mut open = vec![0; services];
    loop {
        let mut is_taken = false;
        for service in 0..services {
            if takes(open.iter().sum(), open[service]) {
                open[service] += 1;
                is_taken = true;
            }
        }
        if !is_taken {
            return open;
        }
    }
}

#[test]
fn no_call_is_taken_that_the_host_has_no_memory_for() {
    assert!(takes(0, 0));
    assert!(takes(max_calls(HOST) - 1, 0));
    assert!(!takes(max_calls(HOST), 0));
    assert!(!takes(max_calls(HOST) + 1, 0));
}

#[test]
fn one_service_leaves_room_for_others() {
    let all = max_calls(HOST);
    assert_eq!(taken(1), [all * 3 / 4 + 1]);
    assert!(takes(taken(1)[0], 0));
}

#[test]
fn services_share_the_room() {
    let open = taken(3);
    let (least, most) = (open.iter().min().unwrap(), open.iter().max().unwrap());
    assert!(most - least <= 1, "{open:?}");
    assert!(
        open.iter().sum::<usize>() > max_calls(HOST) * 8 / 10,
        "{open:?}"
    );
}

/// A process of 32 MiB whose bodies use all of their memory leaves a tenth of the host's, at 56 KiB for each call.
#[test]
fn a_tenth_of_the_memory_stays_free() {
    for host in (120..2_000).map(|mib| mib * MIB) {
        let calls = max_calls(host) as u64 * 56 * KIB;
        assert!(
            32 * MIB + buffer_bytes(host) + calls <= host / 10 * 9,
            "{host}"
        );
    }
}
