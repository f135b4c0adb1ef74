//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body ended as its length or its last chunk requires.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the head of a message; none at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { line: line.trim_end().to_string(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the body that belongs to a head. A response without a length lasts until its channel ends.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    response: bool,
) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                message.whole = true;
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    match length {
        Some(length) => {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            (message.body, message.whole) = (body, true);
        }
        None if response => {
            message.whole = reader.read_to_end(&mut message.body).is_ok();
        }
        None => message.whole = true,
    }
    Ok(())
}

/// Listens at a free port of loopback and serves each channel in a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
    address
}

/// Ports for the routers, below those that the system gives to outgoing channels.
const PORTS: std::ops::Range<u16> = 15_000..30_000;

/// Addresses of loopback at which nothing listens at present.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: Mutex<Option<u16>> = Mutex::new(None);
    let mut next = NEXT.lock().unwrap();
    let start = PORTS.start + (std::process::id() % 100) as u16 * 100;
    let ports = next.unwrap_or(start)..PORTS.end;
    let free = ports.filter_map(|port| {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        TcpListener::bind(address).is_ok().then_some(address)
    });
    let addresses: Vec<_> = free.take(count).collect();
    *next = addresses.last().map(|last| last.port() + 1);
    addresses
}

/// A client's channel.
pub struct Channel {
    pub reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Channel { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Receives a response; none if the channel ends before its head.
    pub fn receive(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = read_head(&mut self.reader)? else { return Ok(None) };
        read_body(&mut self.reader, &mut message, true)?;
        Ok(Some(message))
    }
}

/// A way to an address that can be cut: its channels are closed then, and new ones too.
#[derive(Clone)]
pub struct Way {
    cut: Arc<Mutex<(bool, Vec<TcpStream>)>>,
}

impl Way {
    pub fn open(to: SocketAddr) -> (Self, SocketAddr) {
        let way = Way { cut: Default::default() };
        let shared = way.clone();
        let address = serve(move |stream| shared.carry(stream, to));
        (way, address)
    }

    pub fn set_cut(&self, cut: bool) {
        let mut state = self.cut.lock().unwrap();
        state.0 = cut;
        for stream in state.1.drain(..).filter(|_| cut) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn carry(&self, near: TcpStream, to: SocketAddr) {
        let Ok(far) = TcpStream::connect(to) else { return };
        let _ = far.set_nodelay(true);
        let pair = (near.try_clone(), near.try_clone(), far.try_clone(), far.try_clone());
        let (Ok(near_kept), Ok(mut near_in), Ok(far_kept), Ok(mut far_in)) = pair else { return };
        {
            let mut state = self.cut.lock().unwrap();
            if state.0 {
                return;
            }
            state.1.extend([near_kept, far_kept]);
        }
        let (mut near_out, mut far_out) = (near, far);
        let back = std::thread::spawn(move || {
            let _ = std::io::copy(&mut far_in, &mut near_out);
            let _ = near_out.shutdown(Shutdown::Both);
        });
        let _ = std::io::copy(&mut near_in, &mut far_out);
        let _ = far_out.shutdown(Shutdown::Both);
        let _ = back.join();
    }
}
