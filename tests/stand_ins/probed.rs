//! A stand-in server that is probed: it notes when each probe came, and answers as it is told.
#![allow(dead_code)]

use super::slow_box::unix_ms;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// The server.
pub struct Probed {
    /// When each probe came, Unix milliseconds.
    pub probes: Rc<RefCell<Vec<f64>>>,
    /// The status it answers with; 0 is none at all.
    pub status: Rc<Cell<u16>>,
}

impl Probed {
    /// At `ip:port`.
    pub async fn start(at: &str) -> Self {
        let listener = TcpListener::bind(at).await.unwrap();
        let (probes, status): (Rc<RefCell<Vec<f64>>>, _) = (Rc::default(), Rc::new(Cell::new(200u16)));
        let (noted, answer) = (probes.clone(), status.clone());
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                noted.borrow_mut().push(unix_ms());
                let answer = answer.get();
                spawn_local(async move {
                    let mut bytes = [0u8; 512];
                    let _ = stream.read(&mut bytes).await;
                    if answer == 0 {
                        return std::future::pending().await;
                    }
                    let text = format!("HTTP/1.1 {answer} Answer\r\nContent-Length: 0\r\n\r\n");
                    let _ = stream.write_all(text.as_bytes()).await;
                });
            }
        });
        Self { probes, status }
    }

    /// Probes between two times.
    pub fn between(&self, from: f64, to: f64) -> Vec<f64> {
        self.probes.borrow().iter().copied().filter(|at| *at >= from && *at < to).collect()
    }
}
