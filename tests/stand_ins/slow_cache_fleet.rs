//! Stand-in cache servers on loopback with a limited capacity. The servers share a number of processing
//! slots; each request occupies one for a fixed time, and others wait in order of arrival. Records the
//! received requests.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// Running stand-in caches.
pub struct SlowCacheFleet {
    /// The addresses of the caches.
    pub addresses: Vec<SocketAddr>,
    /// The ids of all received requests, in hexadecimal as on the wire.
    pub request_ids: Rc<RefCell<HashSet<String>>>,
    /// The class of each received request, by its id.
    pub classes_by_id: Rc<RefCell<HashMap<String, String>>>,
    pub requests_by_idempotency_key: Rc<RefCell<HashMap<String, u32>>>,
    /// The body size of responses for parts other than part 0, in bytes.
    pub part_bytes: Rc<Cell<usize>>,
    /// The time for which a request occupies a slot, in milliseconds.
    pub work_ms: Rc<Cell<u64>>,
    /// The number of `DROP` lines received from the proxy.
    pub cancelled: Rc<Cell<u32>>,
    /// Whether requests are run and then answered with an error.
    pub fails: Rc<Cell<bool>>,
    /// The index of the receiving cache and the arrival time of each request, in Unix milliseconds.
    pub arrivals: Rc<RefCell<Vec<(usize, f64)>>>,
}

/// The system time, Unix milliseconds.
pub fn unix_ms() -> f64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

impl SlowCacheFleet {
    /// Starts `cache_count` caches on the addresses `127.0.NET.1` and up. They share `slots` slots, and each
    /// request occupies one for `work_ms`.
    pub async fn start(net: u8, cache_count: usize, slots: usize, work_ms: u64) -> Self {
        let slots = Rc::new(Semaphore::new(slots));
        let request_ids: Rc<RefCell<HashSet<String>>> = Rc::default();
        let classes_by_id: ClassesById = Rc::default();
        let arrivals: Rc<RefCell<Vec<(usize, f64)>>> = Rc::default();
        let requests_by_idempotency_key: Rc<RefCell<HashMap<String, u32>>> = Rc::default();
        let (part_bytes, work_ms): (Rc<Cell<usize>>, _) =
            (Rc::new(Cell::new(9)), Rc::new(Cell::new(work_ms)));
        let (cancelled, fails): (Rc<Cell<u32>>, Rc<Cell<bool>>) = Default::default();
        let mut addresses = Vec::new();
        for cache in 0..cache_count {
            let listener = TcpListener::bind(format!("127.0.{net}.{}:0", cache + 1)).await.unwrap();
            addresses.push(listener.local_addr().unwrap());
            let (slots, request_ids, arrivals, requests_by_idempotency_key) =
                (slots.clone(), request_ids.clone(), arrivals.clone(), requests_by_idempotency_key.clone());
            let classes_by_id = classes_by_id.clone();
            let shared = (work_ms.clone(), part_bytes.clone(), cancelled.clone(), fails.clone());
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (slots, request_ids, arrivals) =
                        (slots.clone(), request_ids.clone(), arrivals.clone());
                    spawn_local(serve(
                        stream,
                        slots,
                        request_ids,
                        (cache, arrivals, requests_by_idempotency_key.clone(), classes_by_id.clone()),
                        shared.clone(),
                    ));
                }
            });
        }
        Self {
            addresses,
            request_ids,
            classes_by_id,
            arrivals,
            requests_by_idempotency_key,
            part_bytes,
            work_ms,
            cancelled,
            fails,
        }
    }
}

/// The processing time, the body size of parts other than part 0, the number of `DROP` lines, and whether requests
/// fail.
type ResponseState = (Rc<Cell<u64>>, Rc<Cell<usize>>, Rc<Cell<u32>>, Rc<Cell<bool>>);
/// The class of each received request, by its id.
type ClassesById = Rc<RefCell<HashMap<String, String>>>;
/// The index of the cache, the received requests, the number of requests by idempotency key, and the classes of
/// requests by id.
type ArrivalLog = (usize, Rc<RefCell<Vec<(usize, f64)>>>, Rc<RefCell<HashMap<String, u32>>>, ClassesById);

async fn serve(
    stream: TcpStream,
    slots: Rc<Semaphore>,
    request_ids: Rc<RefCell<HashSet<String>>>,
    (cache, arrivals, requests_by_idempotency_key, classes_by_id): ArrivalLog,
    (work_ms, part_bytes, cancelled, fails): ResponseState,
) {
    let (read, write) = stream.into_split();
    let write = Rc::new(tokio::sync::Mutex::new(write));
    let mut read = BufReader::new(read);
    let mut line = String::new();
    while read.read_line(&mut line).await.is_ok_and(|n| n > 0) {
        let fields: Vec<String> = line.split_whitespace().map(String::from).collect();
        line.clear();
        if fields.len() != 4 || fields[0] != "GET" {
            cancelled.set(cancelled.get() + u32::from(fields.first().is_some_and(|verb| verb == "DROP")));
            continue;
        }
        let is_later_part = fields[2].split(',').any(|f| f.strip_prefix("p=").is_some_and(|p| p != "0"));
        let mut body = vec![0; fields[3].parse::<usize>().unwrap_or(0) + 2];
        if read.read_exact(&mut body).await.is_err() {
            return;
        }
        request_ids.borrow_mut().insert(fields[1].clone());
        arrivals.borrow_mut().push((cache, unix_ms()));
        if let Some(class) = fields[2].split(',').find_map(|field| field.strip_prefix("c=")) {
            classes_by_id.borrow_mut().insert(fields[1].clone(), class.to_string());
        }
        if let Some(key) = fields[2].split(',').find_map(|field| field.strip_prefix("i=")) {
            *requests_by_idempotency_key.borrow_mut().entry(key.to_string()).or_default() += 1;
        }
        let (slots, write, id) = (slots.clone(), write.clone(), fields[1].clone());
        let (work_ms, part_bytes, fails) = (work_ms.clone(), part_bytes.clone(), fails.get());
        spawn_local(async move {
            let Ok(_slot) = slots.acquire().await else { return };
            tokio::time::sleep(Duration::from_millis(work_ms.get())).await;
            let bytes: Vec<u8> = match is_later_part {
                true => (0..part_bytes.get()).map(|k| (k % 251) as u8).collect(),
                false => b"the bytes".to_vec(),
            };
            let head = format!("{id} ACK sum=t1,t0=1 {}\r\n", bytes.len());
            let response = match fails {
                true => format!("{id} EIO - 0\r\n\r\n").into_bytes(),
                false => [head.as_bytes(), &bytes[..], b"\r\n"].concat(),
            };
            let _ = write.lock().await.write_all(&response).await;
        });
    }
}
