//! Prints a signed URL for the listener of `examples/signed-urls.json`, valid for ten minutes. The first run
//! creates the signing key next to that file.
//!
//!     cargo run --example sign_link -- /media/video-part/17/7f3a9c21e0b4d655/3

use jsonwebtoken::{encode, Algorithm, EncodingKey, Header};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::error::Error;
use std::io::Read;
use std::time::{SystemTime, UNIX_EPOCH};

const KEYS: &str = "examples/signed-urls-keys.json";

#[derive(Serialize)]
struct Claims {
    iss: &'static str,
    exp: u64,
    cdniv: u8,
    cdniuc: String,
}

/// Encodes as base64url without padding.
fn base64url(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0u32, |w, (k, b)| w | u32::from(*b) << (16 - 8 * k));
        (0..=chunk.len()).for_each(|k| out.push(char::from(DIGITS[(word >> (18 - 6 * k) & 63) as usize])));
    }
    out
}

fn main() -> Result<(), Box<dyn Error>> {
    let path = std::env::args().nth(1).ok_or("usage: sign_link /media/CLASS/GROUP/OBJECT/PART[/KB]")?;
    if !std::path::Path::new(KEYS).exists() {
        let mut secret = [0; 32];
        std::fs::File::open("/dev/urandom")?.read_exact(&mut secret)?;
        let k = base64url(&secret);
        std::fs::write(KEYS, format!("{{\"keys\":[{{\"kty\":\"oct\",\"kid\":\"toy\",\"k\":\"{k}\"}}]}}\n"))?;
    }
    let text = std::fs::read_to_string(KEYS)?;
    let secret = text
        .split("\"k\":\"")
        .nth(1)
        .and_then(|t| t.split('"').next())
        .ok_or("examples/signed-urls-keys.json has no \"k\" member")?;
    let expires_at = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs() + 600;
    let hash = base64url(&Sha256::digest(format!("http://127.0.0.1:8080{path}")));
    let claims =
        Claims { iss: "toy-links", exp: expires_at, cdniv: 1, cdniuc: format!("hash:sha-256;{hash}") };
    let header = Header { kid: Some("toy".into()), ..Header::new(Algorithm::HS256) };
    let key = EncodingKey::from_secret(
        &edge_proxy::wire::signed_urls::jwk::decode_base64url(secret)
            .ok_or("the \"k\" member of examples/signed-urls-keys.json is not base64url")?,
    );
    println!("http://127.0.0.1:8080{path}?URISigningPackage={}", encode(&header, &claims, &key)?);
    Ok(())
}
