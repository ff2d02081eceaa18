//! The data exchanged by the two processes of a hot restart, byte for byte as earlier builds of this format version
//! wrote it: each side runs against recorded bytes of the other.

mod data;
mod new_process;
mod old_process;
mod socket;
