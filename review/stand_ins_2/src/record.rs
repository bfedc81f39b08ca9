//! The record of a run: what was sent, answered and run, with the time in milliseconds since the run began.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The present time in Unix milliseconds.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

#[derive(Clone)]
pub struct Record {
    file: Rc<RefCell<File>>,
    started_ms: f64,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Rc::new(RefCell::new(File::create(path)?)), started_ms: now_ms() })
    }

    /// The time since the run began, in milliseconds.
    pub fn at(&self, unix_ms: f64) -> f64 {
        unix_ms - self.started_ms
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.1} {}", self.at(now_ms()), text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file.borrow_mut(), "{line}");
    }
}
