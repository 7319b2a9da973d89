//! Types that almost every module uses.

pub use crate::job::{Job, LengthClass};
pub use proto::prelude::*;
