//! The program as a process of its own: started, signalled, and killed if a test ends early.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_edge-proxy");

/// The example's configuration.
pub fn example() -> String {
    std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")).unwrap()
}

/// Writes a file of the tests' own.
pub fn file(name: &str, text: &str) -> PathBuf {
    let path = super::folder("process").join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// A running proxy; it is killed if a test ends early.
pub struct Running {
    pub child: Child,
    pub errors: BufReader<std::process::ChildStderr>,
    pub port: u16,
}

impl Running {
    /// Starts one on a free port, under a limit on descriptors. Another process may take the port between the
    /// look and the start, so there are further tries.
    pub fn start(name: &str, descriptors: u32) -> Self {
        Self::start_of(&example(), name, descriptors)
    }

    /// Starts it with a configuration of this text.
    pub fn start_of(text: &str, name: &str, descriptors: u32) -> Self {
        (0..10).find_map(|_| Self::try_start(text, name, descriptors)).expect("a free port")
    }

    fn try_start(text: &str, name: &str, descriptors: u32) -> Option<Self> {
        let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        Self::start_at(port, text, name, descriptors)
    }

    /// Starts it at this port; none if it ends at once.
    pub fn start_at(port: u16, text: &str, name: &str, descriptors: u32) -> Option<Self> {
        let mut running = Self::spawn_at(port, text, name, descriptors);
        running.begins("serves on").then_some(running)
    }

    /// Starts it at this port, whatever comes of it.
    pub fn spawn_at(port: u16, text: &str, name: &str, descriptors: u32) -> Self {
        let text = text.replace("127.0.0.1:5050", &format!("127.0.0.1:{port}"));
        let config = file(name, &text);
        let script = format!("ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\"");
        let mut child = Command::new("sh")
            .args(["-c", &script, PROGRAM, config.to_str().unwrap()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let errors = BufReader::new(child.stderr.take().unwrap());
        Self { child, errors, port }
    }

    /// Reads its log up to a line with this text; false where the log ends before.
    pub fn begins(&mut self, text: &str) -> bool {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            if self.errors.read_line(&mut line).unwrap() == 0 {
                return false;
            }
        }
        true
    }

    /// Its process.
    pub fn id(&self) -> i32 {
        self.child.id() as i32
    }

    /// Sends it a signal, `-TERM` for instance.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// A connection to its front.
    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(("127.0.0.1", self.port)).unwrap()
    }

    /// Asks on a connection whether it is alive.
    pub fn alive(&self, stream: &mut TcpStream) -> String {
        stream.write_all(b"GET /alive HTTP/1.1\r\nHost: o\r\n\r\n").unwrap();
        let mut answer = [0; 64];
        let length = stream.read(&mut answer).unwrap();
        String::from_utf8_lossy(&answer[..length]).to_string()
    }

    /// Reads its log up to a line with this text.
    pub fn until(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(self.errors.read_line(&mut line).unwrap() > 0, "no line with {text}");
        }
        line
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
