//! The HTTP parser: messages split anywhere, and input that must not get through or panic.

use ironpaddle::http::parse::{Message, MessageError, MessageKind, Parser};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn read(kind: MessageKind, pieces: &[&[u8]]) -> Result<Vec<Message>, MessageError> {
    let mut parser = Parser::new(kind);
    let mut messages = Vec::new();
    for piece in pieces {
        parser.push(piece);
        while let Some(message) = parser.next_message()? {
            messages.push(message);
        }
    }
    Ok(messages)
}

const TWO: &[u8] = b"POST /a HTTP/1.1\r\nX-Tenant-Id:  acme \r\nContent-Length: 3\r\n\r\nabc\r\n\
    POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nde\r\n1;x=y\r\nf\r\n0\r\nT: t\r\n\r\n";

#[test]
fn messages_split_anywhere_are_read_alike() {
    for cut in 0..TWO.len() {
        let messages = read(MessageKind::Request, &[&TWO[..cut], &TWO[cut..]]).unwrap();
        assert_eq!(messages.len(), 2, "cut at {cut}");
        assert_eq!((&messages[0].body[..], messages[0].keep_alive), (&b"abc"[..], true));
        assert_eq!(messages[0].headers.get("x-tenant-id"), Some("acme"));
        assert_eq!((&messages[1].body[..], messages[1].keep_alive), (&b"def"[..], false));
    }
}

#[test]
fn what_could_be_read_in_two_ways_is_refused() {
    for (head, bad) in [
        ("GET /\r\n\r\n", MessageError::StartLine),
        ("GET / HTTP/3\r\n\r\n", MessageError::Version),
        ("GET / HTTP/1.1\r\nA : b\r\n\r\n", MessageError::Header),
        ("GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", MessageError::Header),
        ("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", MessageError::Length),
        ("GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", MessageError::Length),
        ("GET / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", MessageError::BodyTooLong),
        ("GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", MessageError::BodyTooLong),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", MessageError::Length),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", MessageError::TransferCoding),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", MessageError::Chunk),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", MessageError::Chunk),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", MessageError::BodyTooLong),
    ] {
        assert_eq!(read(MessageKind::Request, &[head.as_bytes()]), Err(bad), "{head:?}");
    }
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n", "b".repeat(20_000));
    assert_eq!(read(MessageKind::Request, &[long.as_bytes()]), Err(MessageError::HeadTooLong));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(101));
    assert_eq!(read(MessageKind::Request, &[many.as_bytes()]), Err(MessageError::Header));
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let mut parser = Parser::new(MessageKind::Response(10));
    parser.push(b"HTTP/1.1 200 OK\r\n\r\nwhole");
    assert_eq!(parser.next_message(), Ok(None));
    assert_eq!(
        parser.finish().map(|message| (message.body, message.keep_alive)),
        Some((b"whole".to_vec(), false))
    );
    let mut parser = Parser::new(MessageKind::Response(10));
    parser.push(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut");
    assert_eq!(parser.next_message(), Ok(None));
    assert_eq!(parser.finish(), None, "a body that is cut is no body");
}

#[test]
fn no_input_panics_and_what_is_kept_is_bounded() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner =
        TestRunner::new_with_rng(Config { cases: 500, failure_persistence: None, ..Config::default() }, rng);
    let words = prop::sample::select(vec![
        &b"POST / HTTP/1.1\r\n"[..],
        b"Content-Length: 5\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"\xff\x00",
        b":",
        b"A: b\r\n",
    ]);
    let pieces = prop::collection::vec(words, 0..30);
    runner
        .run(&pieces, |pieces| {
            for kind in [MessageKind::Request, MessageKind::Response(4)] {
                if let Ok(messages) = read(kind, &pieces) {
                    let most = pieces.iter().map(|piece| piece.len()).sum::<usize>();
                    prop_assert!(messages.iter().map(|message| message.body.len()).sum::<usize>() <= most);
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn what_follows_an_answer_ends_its_connection() {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut byte = [0];
        for after in ["", "more"] {
            stream.read_exact(&mut byte).unwrap();
            stream
                .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok{after}").as_bytes())
                .unwrap();
        }
    });
    async_io::block_on(async {
        let limit = std::time::Duration::from_secs(30);
        let mut client = ironpaddle::http::client::Client::connect(address, limit, 100).await.unwrap();
        for keep_alive in [true, false] {
            client.write(b"?").await.unwrap();
            let answer = client.read().await.unwrap();
            assert_eq!((answer.body.as_slice(), answer.keep_alive), (&b"ok"[..], keep_alive));
        }
    });
    server.join().unwrap();
}
