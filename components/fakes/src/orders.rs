use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ::engine::orders::{CONTENT_PATH, Content, ORDER_PATH};
use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use futures_util::StreamExt;

use crate::status;

/// The part of an engine that takes orders.
#[derive(Default)]
pub struct Orders {
    content: RefCell<Content>,
    unfenced: Cell<bool>,
    load: Cell<Duration>,
    given: RefCell<Vec<u64>>,
}

impl Orders {
    /// Sets what it holds.
    pub fn hold(&self, content: Content) {
        *self.content.borrow_mut() = content;
    }

    /// What it holds.
    pub fn held(&self) -> Content {
        self.content.borrow().clone()
    }

    /// Takes orders whatever their number, and tells none.
    pub fn set_unfenced(&self) {
        self.unfenced.set(true);
    }

    /// Sets how long it takes to carry an order out.
    pub fn set_load(&self, load: Duration) {
        self.load.set(load);
    }

    /// Numbers of the orders that were given, refused ones included.
    pub fn given(&self) -> Vec<u64> {
        self.given.borrow().clone()
    }
}

/// Whether a path is one of orders.
pub(crate) fn concerns(path: &str) -> bool {
    [CONTENT_PATH, ORDER_PATH].contains(&path)
}

pub(crate) async fn answer(orders: Rc<Orders>, mut request: Request) -> Response<BoxBody> {
    if request.path() == CONTENT_PATH {
        let body = serde_json::to_string(&*orders.content.borrow()).expect("plain fields");
        return Response::build(status(200)).body(body).map_into_boxed_body();
    }
    let mut body = Vec::new();
    let mut payload = request.take_payload();
    while let Some(Ok(bytes)) = payload.next().await {
        body.extend_from_slice(&bytes);
    }
    let Ok(order) = serde_json::from_slice::<Content>(&body) else {
        return Response::new(status(400)).map_into_boxed_body();
    };
    orders.given.borrow_mut().push(order.fence.unwrap_or(0));
    let unfenced = orders.unfenced.get();
    if !unfenced && order.fence < orders.content.borrow().fence {
        return Response::new(status(409)).map_into_boxed_body();
    }
    if !unfenced {
        orders.content.borrow_mut().fence = order.fence;
    }
    actix_rt::spawn(async move {
        tokio::time::sleep(orders.load.get()).await;
        let fence = orders.content.borrow().fence;
        if unfenced || fence == order.fence {
            orders.hold(Content { fence, ..order });
        }
    });
    Response::new(status(200)).map_into_boxed_body()
}
