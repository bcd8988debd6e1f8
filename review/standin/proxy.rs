//! A proxy in front of a machine's port for calls between machines, which delays all bytes as a
//! link between two zones does.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

/// Delay in each direction: "One way, 4.9 ms between zones".
const DELAY: Duration = Duration::from_micros(4_900);

/// Starts a proxy from `listen` to `target`.
pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else { continue };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let ends = (client.try_clone(), server.try_clone());
            let (Ok(to_client), Ok(to_server)) = ends else { continue };
            pipe(client, to_server);
            pipe(server, to_client);
        }
    });
    Ok(())
}

/// Copies one direction of a connection, each piece after the delay.
fn pipe(mut from: TcpStream, mut to: TcpStream) {
    let (tx, rx) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buf = [0; 16 << 10];
        while let Ok(len) = from.read(&mut buf) {
            if len == 0 || tx.send((Instant::now() + DELAY, buf[..len].to_vec())).is_err() {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in rx {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
