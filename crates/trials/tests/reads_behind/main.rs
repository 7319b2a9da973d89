//! Changes that are made while watches hear nothing and listings show what held seconds ago.

/// Defines a test for each way in which a store answers reads, which calls a function with it.
macro_rules! each_way {
    ($($name:ident: $test:expr;)*) => {$(
        mod $name {
            use super::*;
            reads! {
                $test =>
                compared_and_own_version: Exact, OfContent;
                compared_and_newest_version: Exact, Newest;
                refused_and_own_version: Refused, OfContent;
                refused_and_newest_version: Refused, Newest;
                blind_and_own_version: Blind, OfContent;
                blind_and_newest_version: Blind, Newest;
                behind_and_own_version: Behind, OfContent;
                behind_and_newest_version: Behind, Newest;
            }
        }
    )*};
}

/// As `each_way`, for rows of which no comparison tells.
macro_rules! each_listing {
    ($($name:ident: $test:expr;)*) => {$(
        mod $name {
            use super::*;
            reads! {
                $test =>
                compared_and_own_version: Exact, OfContent;
                compared_and_newest_version: Exact, Newest;
                refused_and_own_version: Refused, OfContent;
                refused_and_newest_version: Refused, Newest;
            }
        }
    )*};
}

macro_rules! reads {
    ($test:expr => $($name:ident: $comparisons:ident, $version:ident;)*) => {$(
        #[test]
        fn $name() {
            let comparisons = standins::Comparisons::$comparisons;
            let version = standins::ListedVersion::$version;
            $test($crate::stale_store::Reads { comparisons, version });
        }
    )*};
}

mod blocked;
mod change;
mod gateways;
mod known;
mod operators;
mod servers;
mod stale_store;
mod starts;
