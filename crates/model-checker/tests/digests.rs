//! The decisions of stores over a thousand random runs, as digests in the formats of the wire and the disk. Renaming or
//! restructuring leaves the digests unchanged; a commit that changes the behaviour of stores changes them and must
//! state the new values.

use ivygate_model_checker::schedule::Schedule;
use ivygate_model_checker::simulation::digest;

/// One digest per hundred seeds.
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

fn digest_of_hundred_seeds(from: u64) -> u64 {
    (from..from + 100).fold(0, |all, seed| {
        let schedule = Schedule::generate(seed, 3 + (seed % 5) as usize);
        all.rotate_left(7) ^ digest(&schedule)
    })
}

#[test]
fn decisions_of_stores_keep_their_digests() {
    let threads: Vec<_> = (0..10)
        .map(|hundred| std::thread::spawn(move || digest_of_hundred_seeds(100 * hundred + 1)))
        .collect();
    let actual: Vec<u64> =
        threads.into_iter().map(|thread| thread.join().expect("the run finishes")).collect();
    assert_eq!(actual, DIGESTS, "{actual:#018x?}");
}
