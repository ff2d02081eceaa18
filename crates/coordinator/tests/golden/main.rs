//! Golden data: a coordinator's files and the calls between coordinators, as written by a build of commit b9d256d.
//!
//! Each test checks that the current code reads every value of that data, and that it writes the same text. The tests
//! never write to `data/`. They guard against a build that can't read the store or the calls of an earlier one.

mod disk;
mod settings;
mod support;
mod wire;
