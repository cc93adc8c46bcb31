//! Messages split at any byte are read like complete ones, and no bytes make a reader panic.

use pintally_http::{
    chunk, request, response, response_head, sse_event, Part, RequestReader, ResponseReader, SseReader,
    LAST_CHUNK,
};
use proptest::prelude::*;

fn cuts() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1usize..40, 1..60)
}

/// The pieces of some bytes, as long as the cuts say, over and over.
fn pieces<'a>(bytes: &'a [u8], cuts: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let mut rest = bytes;
    cuts.iter().cycle().map_while(move |cut| {
        if rest.is_empty() {
            return None;
        }
        let (piece, left) = rest.split_at((*cut).min(rest.len()));
        rest = left;
        Some(piece)
    })
}

fn body_of(bytes: &[u8], cuts: &[usize], closes: bool) -> (u16, Vec<u8>, Option<bool>) {
    let mut reader = ResponseReader::new(4096);
    let (mut status, mut body, mut end) = (0, Vec::new(), None);
    let mut take = |part: Part| match part {
        Part::Head(s, _) => status = s,
        Part::Body(b) => body.extend(b),
        Part::End(reusable) => end = Some(reusable),
    };
    for piece in pieces(bytes, cuts) {
        reader.push(piece);
        while let Some(part) = reader.next_part().unwrap() {
            take(part);
        }
    }
    if closes {
        if let Ok(part) = reader.closed() {
            take(part);
        }
    }
    (status, body, end)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn requests(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..4), cuts in cuts()) {
        let mut bytes = Vec::new();
        for body in &bodies {
            bytes.extend(request("POST", "/x", &[("a", "b")], body));
        }
        let mut reader = RequestReader::new(1024, 1024);
        let mut got = Vec::new();
        for piece in pieces(&bytes, &cuts) {
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
    fn responses_by_length_in_chunks_and_to_the_end(body in prop::collection::vec(any::<u8>(), 0..500), cuts in cuts()) {
        let whole = response(200, &[("x", "y")], &body);
        prop_assert_eq!(body_of(&whole, &cuts, false), (200, body.clone(), Some(true)));
        let mut chunked = response_head(503, &[]);
        body.chunks(37).for_each(|c| chunked.extend(chunk(c)));
        chunked.extend_from_slice(LAST_CHUNK);
        prop_assert_eq!(body_of(&chunked, &cuts, false), (503, body.clone(), Some(true)));
        let mut to_end = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
        to_end.extend_from_slice(&body);
        prop_assert_eq!(body_of(&to_end, &cuts, true), (200, body.clone(), Some(false)));
        // A body that is cut off has no end, however the connection closes.
        if body.len() > 1 {
            prop_assert_eq!(body_of(&whole[..whole.len() - 1], &cuts, true).2, None);
            prop_assert_eq!(body_of(&chunked[..chunked.len() - 3], &cuts, true).2, None);
        }
    }

    #[test]
    fn events(data in prop::collection::vec("[a-z{}:\" ]{0,40}", 1..20), cuts in cuts()) {
        let bytes: Vec<u8> = data.iter().flat_map(|d| sse_event(d)).collect();
        let mut reader = SseReader::new(1 << 16);
        let mut got = Vec::new();
        for piece in pieces(&bytes, &cuts) {
            reader.push(piece).unwrap();
            got.extend(std::iter::from_fn(|| reader.next_event()));
        }
        let got: Vec<String> = got.into_iter().map(|e| String::from_utf8(e).unwrap()).collect();
        prop_assert_eq!(got, data);
    }

    #[test]
    fn no_bytes_make_a_reader_panic(bytes in prop::collection::vec(any::<u8>(), 0..600), cuts in cuts()) {
        let mut requests = RequestReader::new(128, 128);
        let mut responses = ResponseReader::new(128);
        let mut events = SseReader::new(256);
        for piece in pieces(&bytes, &cuts) {
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

/// A value can add no header line of its own.
#[test]
fn values_cannot_add_lines() {
    let bytes = response(200, &[("x-id", "a\r\nset-cookie: b")], b"");
    assert!(!String::from_utf8(bytes).unwrap().contains("\r\nset-cookie"));
}
