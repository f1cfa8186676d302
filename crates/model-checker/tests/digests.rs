//! The decisions of stores over a thousand random runs, as digests in the formats of the wire and the disk. Renaming or
//! restructuring leaves the digests unchanged; a commit that changes the behaviour of stores changes them and must
//! state the new values.

use ivygate_model_checker::schedule::Schedule;
use ivygate_model_checker::simulation::digest;

/// One digest per hundred seeds.
const DIGESTS: [u64; 10] = [
    0x2c46_3dd3_2c0f_47df,
    0xc921_b31f_a26e_795f,
    0x786a_e458_9cf4_9fee,
    0x8617_6f64_d965_9766,
    0x0b37_0c01_db58_ff4f,
    0xaac7_ad71_5cab_7304,
    0x5b5c_d54d_e4fc_de16,
    0x94ae_11e4_9350_10cc,
    0x90e5_0ed9_6989_cb18,
    0x30b8_8dc1_5d12_6e0c,
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
