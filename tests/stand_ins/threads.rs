//! Stand-ins on threads of their own, for tests of the program as a process: members, and the membership watch.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// How long a thread's test waits for what must come; it only ends a test that hangs.
pub const HANGS: Duration = Duration::from_secs(30);

/// An endpoint that answers every request with its own name; tells the name's asker the ids.
pub struct KnownEndpoint {
    pub address: SocketAddr,
    /// Ids of requests, as they came.
    pub asked: Receiver<String>,
}

impl KnownEndpoint {
    /// Starts one that answers with `name`.
    pub fn start(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, asked) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let tell = tell.clone();
                std::thread::spawn(move || answer(stream.unwrap(), name, &tell));
            }
        });
        Self { address, asked }
    }
}

fn answer(stream: TcpStream, name: &str, tell: &Sender<String>) {
    let mut sink = stream.try_clone().unwrap();
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    while stream.read_line(&mut line).is_ok_and(|length| length > 0) {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["GET", id, _, length] = words[..] {
            let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
            let _ = stream.read_exact(&mut body);
            let _ = tell.send(id.to_string());
            let _ = sink.write_all(format!("{id} ACK sum=t1,t0=5 {}\r\n{name}\r\n", name.len()).as_bytes());
        }
        line.clear();
    }
}

/// A frame of the endpointship watch.
pub fn frame(no: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    frame.extend(no.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame
}

/// A record of a pop cache of this proxy's location: state 0 ready, 1 draining, 2 gone.
pub fn cache_record(id: u32, at: SocketAddr, state: u8) -> Vec<u8> {
    record(id, at, state, 1, 0)
}

/// A record of the origin.
pub fn origin_record(id: u32, at: SocketAddr) -> Vec<u8> {
    record(id, at, 0, 0, 2)
}

fn record(id: u32, at: SocketAddr, state: u8, zone: u8, kind: u8) -> Vec<u8> {
    let mut record = id.to_be_bytes().to_vec();
    record.extend([127, 0, 0, 1]);
    record.extend(at.port().to_be_bytes());
    record.extend([state, zone, kind, 0, 0]);
    record.extend(4_000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    record
}

/// Accepts a link of the watch, and the number that it begins with.
pub fn link(listener: &TcpListener) -> (TcpStream, u64) {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(HANGS)).unwrap();
    let mut last = [0; 8];
    stream.read_exact(&mut last).unwrap();
    (stream, u64::from_be_bytes(last))
}
