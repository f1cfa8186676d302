//! What stores decide over a thousand random runs, as digests of the spelling of the wire and the disk. A change of names
//! or shape leaves them as they are; a change of what stores do changes them, and gives the new ones in its commit.

use ivygate_model_checker::schedule::Schedule;
use ivygate_model_checker::simulation::digest;

/// One digest a hundred seeds.
const DIGESTS: [u64; 10] = [
    0x647a_b10a_2f20_569a,
    0x85a2_d0c0_c621_9bb3,
    0xe80a_815a_a873_09a2,
    0x0e9a_48a1_b8b3_a610,
    0x87cb_90f8_0d14_b64f,
    0xfd70_8812_e93d_159d,
    0xbdb9_dbac_9426_b85a,
    0xa5dd_4101_6e64_30e4,
    0x9c29_4018_7df1_ac44,
    0x98fe_5abd_c968_4380,
];

fn of_hundred(from: u64) -> u64 {
    (from..from + 100).fold(0, |all, seed| {
        let schedule = Schedule::drawn(seed, 3 + (seed % 5) as usize);
        all.rotate_left(7) ^ digest(&schedule)
    })
}

#[test]
fn decisions_of_stores_keep_their_digests() {
    let threads: Vec<_> =
        (0..10).map(|hundred| std::thread::spawn(move || of_hundred(100 * hundred + 1))).collect();
    let found: Vec<u64> = threads.into_iter().map(|thread| thread.join().expect("it plays")).collect();
    assert_eq!(found, DIGESTS, "{found:#018x?}");
}
