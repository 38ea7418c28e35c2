//! Errors of sockets that may pass by themselves.

use std::io;

use slipturn_net::process;

#[test]
fn only_errors_that_may_pass_are_waited_for() {
    use rustix::io::Errno;
    let transient =
        [Errno::ADDRINUSE, Errno::ADDRNOTAVAIL, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    for errno in transient {
        assert!(process::is_transient_bind_error(&io::Error::from(errno)), "{errno}");
    }
    for errno in [Errno::ACCESS, Errno::PERM, Errno::INVAL, Errno::AFNOSUPPORT, Errno::MFILE] {
        assert!(!process::is_transient_bind_error(&io::Error::from(errno)), "{errno}");
    }
    assert!(!process::is_transient_bind_error(&io::Error::other("not of the system")));
}
