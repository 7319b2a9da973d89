//! Ports for the processes of a trial.

use std::collections::HashSet;
use trials::{free_port, port_blocks};

const RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";

/// Outgoing connections took ports that a gateway was about to bind.
fn blocks_leave_out(ephemeral: &str, least: u16, greatest: u16) {
    let blocks = port_blocks(ephemeral);
    assert!(!blocks.is_empty());
    let ports = blocks.iter().flat_map(|first| *first..first + 100);
    let taken: Vec<_> = ports
        .filter(|port| (least..=greatest).contains(port))
        .collect();
    assert_eq!(taken, [0; 0], "{ephemeral}");
}

macro_rules! ranges {
    ($($name:ident: $text:expr, $least:expr, $greatest:expr;)*) => {$(
        #[test]
        fn $name() {
            blocks_leave_out($text, $least, $greatest);
        }
    )*};
}

ranges! {
    the_usual_range: "32768\t60999\n", 32_768, 60_999;
    a_range_of_low_ports: "1024 29999", 1_024, 29_999;
    a_range_that_begins_within_a_block: "16050 65535", 16_050, 65_535;
    a_range_that_cannot_be_read: "", 32_768, 65_535;
}

#[test]
fn each_port_is_drawn_once_and_outside_of_the_range() {
    let range = std::fs::read_to_string(RANGE_FILE).unwrap();
    let bounds: Vec<u16> = range
        .split_whitespace()
        .map(|text| text.parse().unwrap())
        .collect();
    let ports: HashSet<_> = (0..350).map(|_| free_port()).collect();
    assert_eq!(ports.len(), 350);
    let is_outside = |port: &u16| *port > 0 && !(bounds[0]..=bounds[1]).contains(port);
    assert!(ports.iter().all(is_outside), "{ports:?}");
}
