//! Signed URLs: URI Signing for CDNI (RFC 9246), with signed JWTs as tokens.
//!
//! A signed URL has the path `/media/CLASS/GROUP/OBJECT/PART`, optionally followed by the part's size in KB
//! as a last segment, and a single query parameter, `URISigningPackage`, which holds the token. Only the path
//! determines what is fetched. Paths that are not in canonical form are rejected, so that a signature for one
//! object cannot be used for another.

pub mod front;
pub mod jwk;
pub mod key_ring;
mod link;
mod renewal;
mod uri_container;
pub mod verifier;

/// The name of the query parameter and of the cookie that hold a token.
pub const TOKEN_PARAMETER: &str = "URISigningPackage";
