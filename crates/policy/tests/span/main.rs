//! Spans and orders in simulated time, with a fault at every step and with many spans at once.

mod faults;
mod many;
mod world;
