//! Minimal versions of every server that the proxy connects to, at the addresses of `examples/config.json`:
//! two pop caches, a parent, an origin and the discovery server. The body of every object is a line of text
//! that names the object, the part and the server.
//!
//!     cargo run --example toy_server

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

fn serve_cache(name: &'static str, stream: TcpStream) -> std::io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    while input.read_line(&mut line)? > 0 {
        print!("{name}: {line}");
        let words: Vec<String> = line.split_whitespace().map(String::from).collect();
        line.clear();
        // DROP cancels a request and gets no response; this server has already responded to that request.
        let [method, id, fields, length] = &words[..] else { continue };
        if method != "GET" {
            continue;
        }
        let mut request_body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
        input.read_exact(&mut request_body)?;
        let field =
            |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name)).unwrap_or("-").to_string();
        let body = format!("object {} part {} from {name}\n", field("k="), field("p="));
        let generated_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
        write!(output, "{id} ACK sum=toy1,t0={generated_ms} {}\r\n{body}\r\n", body.len())?;
    }
    Ok(())
}

/// Sends a heartbeat every second.
fn serve_discovery(mut stream: TcpStream) -> std::io::Result<()> {
    let mut last_number = [0; 8];
    stream.read_exact(&mut last_number)?;
    loop {
        stream.write_all(&[&9u32.to_be_bytes()[..], &last_number[..], &[0]].concat())?;
        sleep(Duration::from_secs(1));
    }
}

fn main() -> std::io::Result<()> {
    for (name, port) in [("cache-1", 7101), ("cache-2", 7102), ("parent", 7103), ("origin", 7104)] {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        spawn(move || {
            for stream in listener.incoming().flatten() {
                spawn(move || serve_cache(name, stream));
            }
        });
    }
    println!("caches, parent, origin and discovery server are listening");
    for stream in TcpListener::bind("127.0.0.1:7070")?.incoming() {
        let stream = stream?;
        spawn(move || serve_discovery(stream));
    }
    Ok(())
}
