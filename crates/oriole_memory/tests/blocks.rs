//! Blocks of a body: the bytes counted are the bytes allocated, and none gets lost.

use oriole_memory::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

#[rstest]
#[case::usual_body(Some(700), 700, 700)]
#[case::small_chunked(None, 1, BLOCK_BYTES)]
#[case::one_block(Some(BLOCK_BYTES as u64), BLOCK_BYTES, BLOCK_BYTES)]
#[case::just_more(Some(BLOCK_BYTES as u64 + 1), BLOCK_BYTES + 1, 2 * BLOCK_BYTES)]
#[case::longer_than_announced(Some(10), 11, 10 + BLOCK_BYTES)]
#[case::announced_empty(Some(0), 1, 1)]
fn capacity_is_known_before_allocation(
    #[case] announced: Option<u64>,
    #[case] len: usize,
    #[case] expected: usize,
) {
    let mut buf = BlockBuffer::with_length(announced);
    assert_eq!(buf.missing_capacity(len), expected);
    buf.extend(&vec![1; len]);
    assert_eq!(buf.freeze().len(), len);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::with_cases(64) })]

    /// Chunks of any size yield the same bytes, and cost at most one block more than their bytes.
    #[test]
    fn chunks_of_any_size_keep_all_bytes(
        sizes in prop::collection::vec(prop_oneof![Just(1_usize), 1..40_usize, 1..70_000_usize], 0..60),
        is_known: bool,
    ) {
        let total: usize = sizes.iter().sum();
        let mut buf = BlockBuffer::with_length(is_known.then_some(total as u64));
        let (mut sent, mut charged) = (Vec::new(), 0);
        for (i, size) in sizes.into_iter().enumerate() {
            let chunk = vec![i as u8; size];
            charged += buf.missing_capacity(size);
            buf.extend(&chunk);
            sent.extend(chunk);
        }
        prop_assert!(charged >= total && charged < total + BLOCK_BYTES + 1);
        let blocks = buf.freeze();
        prop_assert_eq!(blocks.len(), total);
        prop_assert!(blocks.iter().all(|b| b.len() <= BLOCK_BYTES));
        prop_assert_eq!(blocks.into_iter().flatten().collect::<Vec<u8>>(), sent);
    }
}
