use bytes::BytesMut;
use googletest::prelude::*;

use super::*;

fn headers(lines: &str) -> Headers {
    let text = format!("GET /v1/table?after=7 HTTP/1.1\r\n{lines}\r\n");
    let head = RequestHead::take(&mut BytesMut::from(text.as_str()), QUESTION_LIMIT_BYTES);
    head.unwrap().unwrap().headers
}

/// Guards against hosts of two builds that can't read each other's tables.
#[gtest]
fn form_is_plain_where_either_host_is_of_former_build() {
    let encoded = Bytes::from_static(b"{\"Version\":8,\"Routes\":[]}");
    let packed = PackedTable::default();
    let (line, body) = choose_form(&headers(""), &packed, encoded.clone());
    expect_that!(line, eq(""));
    expect_that!(body, eq(&encoded));
    expect_that!(read_form(&headers(""), encoded.clone()), ok(eq(&encoded)));
}

#[gtest]
fn form_is_packed_between_hosts_of_this_build() {
    let encoded = Bytes::from_static(b"{\"Version\":8,\"Routes\":[]}");
    let packed = PackedTable::default();
    let asked = headers("Anvil-Accept: zlib\r\n");
    let (line, body) = choose_form(&asked, &packed, encoded.clone());
    expect_that!(body, not(eq(&encoded)));
    expect_that!(read_form(&headers(&line), body), ok(eq(&encoded)));
}

/// Guards against a host that misses versions because somebody changed the position on the way.
#[gtest]
fn position_is_read_with_valid_tag_alone() {
    let key = DatagramKey::from_hex(&"a1".repeat(16)).unwrap();
    let lines = render_position(key, "nonce", "3", 41);
    let read = |lines: &str, nonce, era| read_position(&headers(lines), nonce, era, key);
    expect_that!(read(&lines, "nonce", 3), some(eq(41)));
    expect_that!(read(&lines.replace("41", "42"), "nonce", 3), none());
    expect_that!(read(&lines, "other", 3), none());
    expect_that!(read(&lines, "nonce", 4), none());
    expect_that!(read("", "nonce", 3), none());
}
