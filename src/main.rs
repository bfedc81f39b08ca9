//! The edge proxy's command line.
fn main() {}
