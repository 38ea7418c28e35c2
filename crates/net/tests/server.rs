//! Listeners of the entry and the scheduler whose address is not available.

use std::{net, time};

use slipturn_net::{process, server};

/// Time for which a listener keeps waiting at least.
const WAIT: time::Duration = time::Duration::from_millis(300);

/// Returns an address that is in use, and the listener that holds it.
fn taken_address() -> (net::TcpListener, net::SocketAddr) {
    let held = net::TcpListener::bind("127.0.0.1:0").expect("cannot listen");
    let address = held.local_addr().expect("the listener has an address");
    (held, address)
}

#[test]
fn an_address_in_use_is_waited_for() {
    let outcome = process::run(async {
        let (held, address) = taken_address();
        let stop = process::StopSignal::install().expect("cannot install the handlers");
        monoio::spawn(async move {
            monoio::time::sleep(WAIT).await;
            drop(held);
        });
        monoio::time::timeout(10 * WAIT, server::listen(address, &stop)).await
    });
    let listener = outcome.expect("cannot start the event loop").expect("waits too long");
    assert!(matches!(listener, Ok(Some(_))), "not listening");
}

#[test]
fn a_stop_ends_the_wait_for_an_address() {
    let outcome = process::run(async {
        let (_held, address) = taken_address();
        let stop = process::StopSignal::install().expect("cannot install the handlers");
        let asked = stop.clone();
        monoio::spawn(async move {
            monoio::time::sleep(WAIT).await;
            asked.trigger();
        });
        monoio::time::timeout(10 * WAIT, server::listen(address, &stop)).await
    });
    let listener = outcome.expect("cannot start the event loop").expect("waits too long");
    assert!(matches!(listener, Ok(None)), "does not stop");
}
