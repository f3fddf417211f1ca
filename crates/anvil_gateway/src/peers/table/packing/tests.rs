use googletest::prelude::*;

use super::*;

/// Returns a table's text with `count` routes.
fn table(count: usize) -> Bytes {
    let routes: Vec<String> = (0..count)
        .map(|index| format!(r#"{{"Host":"h{index}.example","Path":"/p{index}/","Service":"s"}}"#))
        .collect();
    format!(r#"{{"Version":7,"Routes":[{}]}}"#, routes.join(",")).into()
}

#[gtest]
fn unpack_reverses_pack() {
    for count in [0, 1, 5000] {
        let encoded = table(count);
        expect_that!(unpack(&pack(&encoded)), ok(eq(&encoded)));
    }
}

#[gtest]
fn pack_shortens_table_and_shares_it() {
    let encoded = table(5000);
    let tables = PackedTable::default();
    let packed = tables.pack(&encoded);
    expect_that!(packed.len() * 4, le(encoded.len()));
    let again = tables.pack(&encoded.clone());
    expect_that!(again.as_ptr(), eq(packed.as_ptr()));
}

/// Guards against an older table that is passed on under the version of a newer one.
#[gtest]
fn pack_tells_tables_of_one_size_apart() {
    let tables = PackedTable::default();
    let before = Bytes::from_static(br#"{"Version":7,"Routes":[1]}"#);
    let restored = Bytes::from_static(br#"{"Version":7,"Routes":[2]}"#);
    tables.pack(&before);
    expect_that!(unpack(&tables.pack(&restored)), ok(eq(&restored)));
}

#[gtest]
fn unpack_refuses_damaged_and_too_large_forms() {
    let packed = pack(&table(100));
    expect_that!(unpack(&packed[..packed.len() / 2]).is_err(), eq(true));
    expect_that!(unpack(b"no zlib").is_err(), eq(true));
    let too_large = vec![0; UNPACKED_LIMIT_BYTES as usize + 1];
    expect_that!(unpack(&pack(&too_large)).is_err(), eq(true));
}
