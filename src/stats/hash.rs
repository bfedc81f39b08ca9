//! Unseeded hashes, which are the same in every process, and weighted rendezvous hashing (Thaler and
//! Ravishankar, 1998).

/// Hash of two numbers by the finalizer of SplitMix64. It is unseeded, so that all processes agree on it.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0xD1B5_4A32_D192_ED03);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// [`mix`] as a number strictly between 0 and 1.
pub fn unit_hash(a: u64, b: u64) -> f64 {
    ((mix(a, b) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The score of a node for a key; the node with the lowest score is first. A node is first for a share of the
/// keys in proportion to its weight, and adding a node only moves keys to that node.
fn score(key: u64, node: u32, weight: f64) -> f64 {
    -unit_hash(key, u64::from(node)).ln() / weight
}

/// The first node in a key's order; `nodes` yields nodes with their weights.
pub fn rendezvous_first(key: u64, nodes: impl Iterator<Item = (u32, f64)>) -> Option<u32> {
    let scored = nodes.map(|(node, weight)| (score(key, node, weight), node));
    scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, node)| node)
}

/// All nodes in a key's order; `nodes` yields nodes with their weights and values to return with them.
pub fn rendezvous_order<T>(key: u64, nodes: impl Iterator<Item = (u32, f64, T)>) -> Vec<(u32, T)> {
    let scored = nodes.map(|(node, weight, value)| (score(key, node, weight), node, value));
    let mut order: Vec<(f64, u32, T)> = scored.collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    order.into_iter().map(|(_, node, value)| (node, value)).collect()
}
