//! Stand-in endpoint for health checks: records the arrival time of each check and responds with a
//! configurable status.
#![allow(dead_code)]

use super::slow_cache_fleet::unix_ms;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

pub struct CheckedEndpoint {
    /// Arrival times of the checks, in Unix milliseconds.
    pub checks: Rc<RefCell<Vec<f64>>>,
    /// HTTP status of the responses. With 0, connections are accepted but get no response.
    pub status: Rc<Cell<u16>>,
}

impl CheckedEndpoint {
    /// Starts an endpoint that listens on `address` (`IP:PORT`).
    pub async fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let (checks, status): (Rc<RefCell<Vec<f64>>>, _) = (Rc::default(), Rc::new(Cell::new(200u16)));
        let (recorded, response_status) = (checks.clone(), status.clone());
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                recorded.borrow_mut().push(unix_ms());
                let status = response_status.get();
                spawn_local(async move {
                    let mut request = [0u8; 512];
                    let _ = stream.read(&mut request).await;
                    if status == 0 {
                        return std::future::pending().await;
                    }
                    let response = format!("HTTP/1.1 {status} Answer\r\nContent-Length: 0\r\n\r\n");
                    let _ = stream.write_all(response.as_bytes()).await;
                });
            }
        });
        Self { checks, status }
    }

    /// Arrival times of the checks within an interval.
    pub fn checks_between(&self, from: f64, to: f64) -> Vec<f64> {
        self.checks.borrow().iter().copied().filter(|at| *at >= from && *at < to).collect()
    }
}
