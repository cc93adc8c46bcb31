//! A message that is split at any position is parsed like a complete one, and no input makes a reader panic.

use pintally_http::{
    chunk, request, response, response_head, sse_event, Part, RequestReader, ResponseReader, SseReader,
    LAST_CHUNK,
};
use proptest::prelude::*;

fn piece_lengths() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1usize..40, 1..60)
}

/// Splits bytes into pieces of the given lengths, which are repeated cyclically.
fn pieces<'a>(bytes: &'a [u8], lengths: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let mut rest = bytes;
    lengths.iter().cycle().map_while(move |length| {
        if rest.is_empty() {
            return None;
        }
        let (piece, remaining) = rest.split_at((*length).min(rest.len()));
        rest = remaining;
        Some(piece)
    })
}

/// The status, the body and whether the connection can be reused (`None` if the response did not end).
fn parse_response(bytes: &[u8], lengths: &[usize], closes: bool) -> (u16, Vec<u8>, Option<bool>) {
    let mut reader = ResponseReader::new(4096);
    let (mut status, mut body, mut end) = (0, Vec::new(), None);
    let mut handle = |part: Part| match part {
        Part::Head(s, _) => status = s,
        Part::Body(b) => body.extend(b),
        Part::End(reusable) => end = Some(reusable),
    };
    for piece in pieces(bytes, lengths) {
        reader.push(piece);
        while let Some(part) = reader.next_part().unwrap() {
            handle(part);
        }
    }
    if closes {
        if let Ok(part) = reader.closed() {
            handle(part);
        }
    }
    (status, body, end)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn requests(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..4), lengths in piece_lengths()) {
        let mut bytes = Vec::new();
        for body in &bodies {
            bytes.extend(request("POST", "/x", &[("a", "b")], body));
        }
        let mut reader = RequestReader::new(1024, 1024);
        let mut got = Vec::new();
        for piece in pieces(&bytes, &lengths) {
            reader.push(piece);
            while let Some(request) = reader.next_request().unwrap() {
                prop_assert_eq!(request.headers.get("a"), Some("b"));
                got.push(request.body);
            }
        }
        prop_assert_eq!(got, bodies);
        prop_assert!(!reader.is_partial());
    }

    #[test]
    fn responses_of_each_framing(body in prop::collection::vec(any::<u8>(), 0..500), lengths in piece_lengths()) {
        let whole = response(200, &[("x", "y")], &body);
        prop_assert_eq!(parse_response(&whole, &lengths, false), (200, body.clone(), Some(true)));
        let mut chunked = response_head(503, &[]);
        body.chunks(37).for_each(|c| chunked.extend(chunk(c)));
        chunked.extend_from_slice(LAST_CHUNK);
        prop_assert_eq!(parse_response(&chunked, &lengths, false), (503, body.clone(), Some(true)));
        let mut to_end = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
        to_end.extend_from_slice(&body);
        prop_assert_eq!(parse_response(&to_end, &lengths, true), (200, body.clone(), Some(false)));
        // A truncated body has no end, even if the connection is closed normally.
        if body.len() > 1 {
            prop_assert_eq!(parse_response(&whole[..whole.len() - 1], &lengths, true).2, None);
            prop_assert_eq!(parse_response(&chunked[..chunked.len() - 3], &lengths, true).2, None);
        }
    }

    #[test]
    fn events(data in prop::collection::vec("[a-z{}:\" ]{0,40}", 1..20), lengths in piece_lengths()) {
        let bytes: Vec<u8> = data.iter().flat_map(|d| sse_event(d)).collect();
        let mut reader = SseReader::new(1 << 16);
        let mut got = Vec::new();
        for piece in pieces(&bytes, &lengths) {
            reader.push(piece).unwrap();
            got.extend(std::iter::from_fn(|| reader.next_event()));
        }
        let got: Vec<String> = got.into_iter().map(|e| String::from_utf8(e).unwrap()).collect();
        prop_assert_eq!(got, data);
    }

    #[test]
    fn readers_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..600), lengths in piece_lengths()) {
        let mut requests = RequestReader::new(128, 128);
        let mut responses = ResponseReader::new(128);
        let mut events = SseReader::new(256);
        for piece in pieces(&bytes, &lengths) {
            requests.push(piece);
            responses.push(piece);
            while let Ok(Some(_)) = requests.next_request() {}
            while let Ok(Some(_)) = responses.next_part() {}
            if events.push(piece).is_ok() {
                while events.next_event().is_some() {}
            }
        }
        let _ = responses.closed();
    }
}

/// Guards against header injection: a line end in a value must not start another header.
#[test]
fn values_cannot_inject_headers() {
    let bytes = response(200, &[("x-id", "a\r\nset-cookie: b")], b"");
    assert!(!String::from_utf8(bytes).unwrap().contains("\r\nset-cookie"));
}
