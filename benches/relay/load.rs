//! Load generator. Each caller connection has its own thread, so that a slow one doesn't
//! delay the measurements of the others.

use crate::{target::ANSWER_BYTES, thread::ServingThread};
use hdrhistogram::Histogram;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

/// A request as a browser behind a load balancer sends it.
const REQUEST: &[u8] = b"GET /matchdesk/listings/4711?page=2 HTTP/1.1\r\n\
    host: matchdesk.example\r\n\
    user-agent: bench/1\r\n\
    accept: application/json\r\n\
    accept-encoding: gzip\r\n\
    x-forwarded-for: 192.0.2.7\r\n\
    cyclamenloft-caller: web\r\n\
    cyclamenloft-deadline-ms: 2000\r\n\r\n";
/// Time before the measurement starts.
const WARM_UP: Duration = Duration::from_millis(300);

/// Throughput of a thread at saturation.
#[derive(Clone, Copy)]
pub struct Saturated {
    /// Responses per second.
    pub per_second: f64,
    /// Responses per second of the thread's CPU time.
    pub per_core: f64,
}

/// Latencies at a constant rate, measured from the time at which each request was due.
#[derive(Clone, Copy)]
pub struct Paced {
    pub p50_us: u64,
    pub p99_us: u64,
}

/// Runs callers that each send the next request as soon as the response has arrived.
pub fn saturate(serving: &ServingThread, callers: usize, time: Duration) -> Saturated {
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let threads: Vec<JoinHandle<()>> = (0..callers)
        .map(|_| {
            let (mut caller, stop, count) =
                (Caller::connect(serving.addr), stop.clone(), count.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    caller.send_request();
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    std::thread::sleep(WARM_UP);
    let (began, cpu_time, first) =
        (Instant::now(), serving.cpu_time(), count.load(Ordering::Relaxed));
    std::thread::sleep(time);
    let answered = (count.load(Ordering::Relaxed) - first) as f64;
    let (wall, cpu_time) = (began.elapsed(), serving.cpu_time() - cpu_time);
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    Saturated {
        per_second: answered / wall.as_secs_f64(),
        per_core: answered / cpu_time.as_secs_f64(),
    }
}

/// Sends `rate` requests per second in total. A caller that gets a late response then sends
/// the requests that became due meanwhile without a pause.
pub fn pace(addr: SocketAddr, callers: usize, rate: f64, time: Duration) -> Paced {
    let began = Instant::now() + WARM_UP;
    let period = Duration::from_secs_f64(callers as f64 / rate);
    let threads: Vec<JoinHandle<Histogram<u64>>> = (0..callers)
        .map(|n| {
            let mut caller = Caller::connect(addr);
            let first = began + period.mul_f64(n as f64 / callers as f64);
            std::thread::spawn(move || caller.send_paced(first, period, began + time))
        })
        .collect();
    let mut all = Histogram::new(3).unwrap();
    threads.into_iter().for_each(|t| all.add(t.join().unwrap()).unwrap());
    Paced { p50_us: all.value_at_quantile(0.5), p99_us: all.value_at_quantile(0.99) }
}

struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_nodelay(true).unwrap();
        Self { stream, buf: vec![0; 16 * 1024] }
    }

    /// Sends a request and reads the whole response.
    fn send_request(&mut self) {
        self.stream.write_all(REQUEST).unwrap();
        let mut length = 0;
        loop {
            let n = self.stream.read(&mut self.buf[length..]).unwrap();
            assert!(n > 0, "the connection was closed");
            length += n;
            let head = self.buf[..length].windows(4).position(|w| w == b"\r\n\r\n");
            if head.is_some_and(|at| length >= at + 4 + ANSWER_BYTES) {
                break;
            }
        }
        assert!(self.buf.starts_with(b"HTTP/1.1 200"), "the response is an error");
    }

    fn send_paced(&mut self, first: Instant, period: Duration, end: Instant) -> Histogram<u64> {
        let mut histogram = Histogram::new(3).unwrap();
        let mut due = first;
        while due < end {
            if let Some(wait) = due.checked_duration_since(Instant::now()) {
                std::thread::sleep(wait);
            }
            self.send_request();
            histogram.record(due.elapsed().as_micros() as u64).unwrap();
            due += period;
        }
        histogram
    }
}
