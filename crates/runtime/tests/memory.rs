//! The account of memory: charges go with the bytes, and no kind of use takes the memory of another.

use ivygate_runtime::{BufferFull, ChargedBuffer, MemoryAccount, MemoryUse, SMALL_BODY_BYTES};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

const LIMIT: usize = 1_000_000;

fn account() -> Arc<MemoryAccount> {
    MemoryAccount::new(|_| LIMIT)
}

fn used(account: &MemoryAccount, kind: MemoryUse) -> usize {
    account.usage().iter().find(|usage| usage.kind == kind).expect("each kind is listed").used_bytes
}

fn large(_: usize) -> MemoryUse {
    MemoryUse::LargeRequests
}

#[test]
fn charge_is_returned_when_the_last_clone_of_the_bytes_is_dropped() {
    let account = account();
    let mut buffer = ChargedBuffer::new(&account, large, Some(500_000), LIMIT).expect("there is memory");
    assert_eq!(used(&account, MemoryUse::LargeRequests), 500_000, "charged before a byte is read");
    buffer.extend(&[1; 1000]).expect("it fits");
    let bytes = buffer.freeze();
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(used(&account, MemoryUse::LargeRequests), 500_000);
    drop(part);
    assert_eq!(used(&account, MemoryUse::LargeRequests), 0);
}

#[test]
fn body_over_the_share_is_refused_before_it_is_read_and_leaves_other_kinds_alone() {
    let account = account();
    let _first = ChargedBuffer::new(&account, large, Some(600_000), LIMIT).expect("there is memory");
    let second = ChargedBuffer::new(&account, large, Some(600_000), LIMIT);
    assert_eq!(second.err(), Some(BufferFull::OutOfMemoryShare));
    let small = ChargedBuffer::new(&account, MemoryUse::of_request, Some(SMALL_BODY_BYTES as u64), LIMIT);
    assert!(small.is_ok(), "small bodies have a share of their own");
    let usage = account.usage();
    let refused =
        usage.iter().find(|usage| usage.kind == MemoryUse::LargeRequests).map(|usage| usage.refused);
    assert_eq!(refused, Some(1));
}

#[test]
fn body_of_unknown_length_is_charged_as_it_grows() {
    let account = account();
    let mut buffer =
        ChargedBuffer::new(&account, MemoryUse::of_request, None, LIMIT).expect("there is memory");
    let mut length = 0;
    while buffer.extend(&[7; 10_000]).is_ok() {
        length += 10_000;
        let charged = used(&account, MemoryUse::SmallRequests) + used(&account, MemoryUse::LargeRequests);
        assert!(charged >= length, "{length} bytes, {charged} charged");
    }
    assert!(length >= LIMIT / 4, "half of the share is needed while the bytes are moved: {length}");
    assert!(buffer.freeze().iter().all(|byte| *byte == 7));
    assert_eq!(used(&account, MemoryUse::LargeRequests), 0);
}

#[test]
fn body_over_its_maximum_length_is_told_apart_from_a_lack_of_memory() {
    let account = account();
    assert_eq!(ChargedBuffer::new(&account, large, Some(101), 100).err(), Some(BufferFull::TooLong));
    let mut buffer = ChargedBuffer::new(&account, large, None, 100).expect("there is memory");
    assert_eq!(buffer.extend(&[0; 100]), Ok(()));
    assert_eq!(buffer.extend(&[0]), Err(BufferFull::TooLong));
    assert_eq!(ChargedBuffer::new(&account, large, Some(u64::MAX), 100).err(), Some(BufferFull::TooLong));
}

#[tokio::test(flavor = "current_thread")]
async fn use_that_can_wait_is_charged_when_memory_is_returned() {
    let account = account();
    let first = account.try_charge(MemoryUse::StreamedResponses, LIMIT).expect("there is memory");
    let mut second = Box::pin(account.clone().charge(MemoryUse::StreamedResponses, LIMIT));
    assert!(timeout(Duration::from_millis(20), &mut second).await.is_err(), "it waits");
    drop(first);
    let second = timeout(Duration::from_secs(5), second).await.expect("it goes on");
    assert!(second.is_some());
    assert_eq!(used(&account, MemoryUse::StreamedResponses), LIMIT);
    drop(second);
    assert_eq!(used(&account, MemoryUse::StreamedResponses), 0);
}
