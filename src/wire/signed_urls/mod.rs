//! Signed URLs: URI Signing for CDNI (RFC 9246), with tokens that are signed JWTs.
//!
//! A link is `/media/CLASS/GROUP/OBJECT/PART` or the same with the part's size in KB as a last segment, and one query
//! parameter, `URISigningPackage`, with the token. Nothing else of a request determines what is fetched. A path has one
//! spelling only, so that a signature for one object cannot be stretched to another.

pub mod front;
pub mod jwk;
pub mod key_ring;
mod link;
mod renewal;
mod uri_container;
pub mod verifier;

/// The name of the query parameter, and of the cookie, that holds a token.
pub const TOKEN_PARAMETER: &str = "URISigningPackage";
