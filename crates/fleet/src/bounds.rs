//! How much the book may hold, and why. A snapshot of a full book is below 8 MB, so that a steward that has lost
//! its disk gets it in a few seconds over a slow link.

/// Sessions at once. The users run hundreds of senders; a release doubles them for moments.
pub const SESSIONS: usize = 1_024;
/// Pieces of work that the book remembers, owned or not. One for each destination with a limit, and some more.
pub const WORKS: usize = 4_096;
/// Longest name of a member, a zone, a version or a piece of work, in bytes.
pub const NAME: usize = 128;
/// Longest text that an owner leaves for the next one, in bytes.
pub const CURSOR: usize = 512;
/// Terms, sessions and events that a book gives out from one restore to the next: so far do all of them jump. A
/// thousand a second reach it after thirty years.
pub const GENERATION: u64 = 1 << 40;
/// Restores in the life of a group.
pub const GENERATIONS: u64 = 1 << 20;
/// Events that the book remembers for whoever asks what happened; older ones are forgotten.
pub const HISTORY: usize = 1_024;
