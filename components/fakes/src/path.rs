//! The network path from one node to one server, which can be partitioned.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Closed;

/// Connections that the path queues until it passes them on.
const BACKLOG: u32 = 64;
/// Bytes that are copied at once.
const BUFFER_BYTES: usize = 16 << 10;
/// How often a path listens again at its address while that is in use, and the pause between two tries.
const LISTEN_TRIES: u32 = 1_000;
const LISTEN_PAUSE: Duration = Duration::from_millis(5);

derives::value! {
    /// How a path is partitioned.
    #[derive(Default)]
    pub enum Cut {
        /// It isn't.
        #[default]
        None,
        /// New connections are refused; those that are open go on.
        Refusing,
        /// New connections are refused, and those that are open are reset.
        Resetting,
        /// New connections hang, and nothing passes on those that are open; they are reset once this ends.
        Silent,
    }
}

/// A path that passes connections on to a server until it is cut.
pub struct Path {
    to: SocketAddr,
    port: Closed,
    cut: watch::Sender<Cut>,
    accepting: RefCell<Option<JoinHandle<()>>>,
    /// Fills the queue of a silent path, so that further connections hang.
    filling: RefCell<Option<(TcpListener, TcpStream)>>,
    passed: Rc<Cell<u64>>,
}

impl Path {
    /// Opens a path to an address on a free port.
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let path = Path {
            to,
            port: Closed::open()?,
            cut: watch::channel(Cut::None).0,
            accepting: RefCell::default(),
            filling: RefCell::default(),
            passed: Rc::default(),
        };
        path.accept(path.listen(BACKLOG)?);
        Ok(path)
    }

    /// Its address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.port.address()
    }

    /// Bytes of requests that were passed on so far.
    pub fn bytes(&self) -> u64 {
        self.passed.get()
    }

    /// Partitions the path, or ends the partition.
    pub async fn set(&self, cut: Cut) -> io::Result<()> {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
            // The listener is closed once the task has ended.
            let _ = accepting.await;
        }
        self.filling.take();
        self.cut.send_replace(cut);
        match cut {
            Cut::None => {
                self.accept(self.listen_again(BACKLOG).await?);
                Ok(())
            }
            Cut::Refusing | Cut::Resetting => Ok(()),
            Cut::Silent => {
                let listener = self.listen_again(0).await?;
                let filling = TcpStream::connect(self.address()?).await?;
                self.filling.replace(Some((listener, filling)));
                Ok(())
            }
        }
    }

    fn listen(&self, backlog: u32) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address()?)?;
        socket.listen(backlog)
    }

    /// Listens at the address of a listener that was closed. A process that another thread is just starting holds that one
    /// until it runs its program.
    async fn listen_again(&self, backlog: u32) -> io::Result<TcpListener> {
        for _ in 1..LISTEN_TRIES {
            match self.listen(backlog) {
                Err(cause) if cause.kind() == io::ErrorKind::AddrInUse => {}
                result => return result,
            }
            tokio::time::sleep(LISTEN_PAUSE).await;
        }
        self.listen(backlog)
    }

    fn accept(&self, listener: TcpListener) {
        let (to, cut, passed) = (self.to, self.cut.clone(), self.passed.clone());
        let accepting = actix_rt::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                actix_rt::spawn(pass(near, to, cut.subscribe(), passed.clone()));
            }
        });
        self.accepting.replace(Some(accepting));
    }
}

impl Drop for Path {
    fn drop(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
    }
}

/// Copies bytes both ways until one side ends, and counts those that go there. An error says that one side was reset.
async fn copy_both_ways(
    near: &mut TcpStream,
    far: &mut TcpStream,
    passed: &Cell<u64>,
) -> io::Result<()> {
    let (mut near_read, mut near_write) = near.split();
    let (mut far_read, mut far_write) = far.split();
    let there = async {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let count = near_read.read(&mut buffer).await?;
            if count == 0 {
                return Ok(());
            }
            far_write.write_all(&buffer[..count]).await?;
            passed.set(passed.get() + count as u64);
        }
    };
    tokio::select! {
        passed = there => passed,
        passed = tokio::io::copy(&mut far_read, &mut near_write) => passed.map(|_| ()),
    }
}

/// Passes one connection on until it ends or the path is cut.
async fn pass(
    mut near: TcpStream,
    to: SocketAddr,
    mut cut: watch::Receiver<Cut>,
    passed: Rc<Cell<u64>>,
) {
    let Ok(mut far) = TcpStream::connect(to).await else { return };
    loop {
        let current = *cut.borrow_and_update();
        match current {
            Cut::Resetting => break,
            Cut::Silent => {
                let _ = cut.changed().await;
                break;
            }
            Cut::None | Cut::Refusing => tokio::select! {
                passed = copy_both_ways(&mut near, &mut far, &passed) => match passed {
                    Ok(()) => return,
                    // A reset of one side is one for the other, not an end in order.
                    Err(_) => break,
                },
                changed = cut.changed() => if changed.is_err() { return },
            },
        }
    }
    let _ = (near.set_zero_linger(), far.set_zero_linger());
}
