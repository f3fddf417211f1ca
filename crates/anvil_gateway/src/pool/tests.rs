use std::time::Duration;

use googletest::prelude::*;
use tokio::net::TcpListener;

use super::*;
use crate::tests::fleet::run;

const LIMIT: Duration = Duration::from_secs(5);

/// Guards against a late copy of a refusal that is taken for the answer to the second send of the same
/// request (TWICE).
#[gtest]
fn take_idle_skips_connection_on_which_request_was_refused() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = ConnectionPool::default();
        let mut refused = PooledConnection::new(Connection::open(address, LIMIT).await.unwrap());
        refused.record_unanswered(&"a".into());
        pool.release(refused, None);
        let reused = pool.take_idle(&"b".into());
        expect_that!(
            reused.as_ref().map(|pooled| pooled.is_reused),
            some(eq(true))
        );
        pool.release(reused.unwrap(), None);
        expect_that!(pool.take_idle(&"a".into()).is_none(), eq(true));
        let other = PooledConnection::new(Connection::open(address, LIMIT).await.unwrap());
        pool.release(other, None);
        expect_that!(pool.take_idle(&"a".into()).is_some(), eq(true));
    });
}

/// Guards against a panic at a stated timeout that no clock holds.
#[gtest]
fn release_keeps_connection_with_endless_idle_timeout() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = ConnectionPool::default();
        for idle_timeout in [Duration::from_secs(i64::MAX as u64), Duration::MAX] {
            let connection = Connection::open(address, LIMIT).await.unwrap();
            pool.release(PooledConnection::new(connection), Some(idle_timeout));
            pool.drop_expired();
            expect_that!(pool.take_idle(&"a".into()).is_some(), eq(true));
        }
    });
}
