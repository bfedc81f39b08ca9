//! A stand-in endpoint for health checks: it records when each check arrives and answers with a given status.
#![allow(dead_code)]

use super::slow_cache_fleet::unix_ms;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// The endpoint.
pub struct CheckedEndpoint {
    /// When each check arrived, in Unix milliseconds.
    pub checks: Rc<RefCell<Vec<f64>>>,
    /// Status of its answers; 0 for no answer.
    pub status: Rc<Cell<u16>>,
}

impl CheckedEndpoint {
    /// Listens at `ip:port`.
    pub async fn start(at: &str) -> Self {
        let listener = TcpListener::bind(at).await.unwrap();
        let (checks, status): (Rc<RefCell<Vec<f64>>>, _) = (Rc::default(), Rc::new(Cell::new(200u16)));
        let (recorded, answer) = (checks.clone(), status.clone());
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                recorded.borrow_mut().push(unix_ms());
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
        Self { checks, status }
    }

    /// Checks between two times.
    pub fn between(&self, from: f64, to: f64) -> Vec<f64> {
        self.checks.borrow().iter().copied().filter(|at| *at >= from && *at < to).collect()
    }
}
