use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::ANY;

derives::value! {
    /// What a link does with bytes. The connection stays open in any case: a fault of a network
    /// is seldom told.
    #[derive(Default)]
    pub struct Way {
        /// Bytes from the one who connects are lost.
        pub deaf: bool,
        /// Bytes back to the one who connects are lost.
        pub mute: bool,
        /// Bytes of both ways come this much later.
        pub delay: Duration,
    }
}

/// The network between two processes: passes connections on to an address, and can fail.
pub struct Link {
    address: SocketAddr,
    way: Rc<Cell<Way>>,
    there: Rc<Cell<u64>>,
    back: Rc<Cell<u64>>,
}

impl Link {
    /// Starts a link to an address on a free port.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(ANY).await?;
        let address = socket.local_addr()?;
        let way: Rc<Cell<Way>> = Rc::default();
        let (there, back): (Rc<Cell<u64>>, Rc<Cell<u64>>) = Default::default();
        let counts = (there.clone(), back.clone());
        let shared = Rc::downgrade(&way);
        actix_rt::spawn(async move {
            while let Ok((near, _)) = socket.accept().await {
                let Some(way) = shared.upgrade() else { return };
                actix_rt::spawn(join(near, to, way, counts.clone()));
            }
        });
        Ok(Link { address, way, there, back })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes read so far from the one who connects, and from the other side.
    pub fn bytes(&self) -> (u64, u64) {
        (self.there.get(), self.back.get())
    }

    /// Changes what it does with bytes from now on.
    pub fn set(&self, way: Way) {
        self.way.set(way);
    }
}

type Counts = (Rc<Cell<u64>>, Rc<Cell<u64>>);

async fn join(near: TcpStream, to: SocketAddr, way: Rc<Cell<Way>>, counts: Counts) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let there = way.clone();
    let to_far = move || (there.get().deaf, there.get().delay);
    let to_near = move || (way.get().mute, way.get().delay);
    let passed = tokio::select! {
        passed = copy(&mut near_read, &mut far_write, &counts.0, to_far) => passed,
        passed = copy(&mut far_read, &mut near_write, &counts.1, to_near) => passed,
    };
    if passed.is_err() {
        // A reset of one side is one for the other, not an end in order.
        for half in [near_write, far_write] {
            let _ = half.as_ref().set_zero_linger();
            half.forget();
        }
    }
}

async fn copy(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    passed: &Cell<u64>,
    way: impl Fn() -> (bool, Duration),
) -> io::Result<()> {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let count = from.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        passed.set(passed.get() + count as u64);
        let (lost, delay) = way();
        if lost {
            continue;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        to.write_all(&bytes[..count]).await?;
    }
}
