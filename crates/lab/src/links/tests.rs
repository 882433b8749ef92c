use super::*;

/// Starts an echo server.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut bytes = [0; 64];
                while let Ok(count @ 1..) = (&stream).read(&mut bytes) {
                    (&stream).write_all(&bytes[..count]).unwrap();
                }
            });
        }
    });
    address
}

#[test]
fn a_cut_link_holds_bytes_until_the_cut_ends_and_a_reset_closes_connections() {
    let (link, address) = Link::start(echo(), |_| ()).unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    let mut bytes = [0; 4];
    stream.write_all(b"here").unwrap();
    stream.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"here");
    // Requests reach the server, and its answers are held.
    link.set_conditions(Conditions { cut: [false, true], delay_ms: 0.0 });
    stream.write_all(b"then").unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    assert!(stream.read_exact(&mut bytes).is_err(), "the way back is cut");
    stream.set_read_timeout(None).unwrap();
    link.set_conditions(Conditions::default());
    stream.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"then");
    link.reset();
    assert_eq!(stream.read(&mut bytes).unwrap_or(0), 0);
}
