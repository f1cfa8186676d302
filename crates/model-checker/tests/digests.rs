//! The decisions of stores over a thousand random runs, as digests in the formats of the wire and the disk. Renaming or
//! restructuring leaves the digests unchanged; a commit that changes the behaviour of stores changes them and must
//! state the new values.

use ivygate_model_checker::schedule::Schedule;
use ivygate_model_checker::simulation::digest;

/// One digest per hundred seeds.
const DIGESTS: [u64; 10] = [
    0xb6dd_029c_4c46_c94b,
    0x99c8_7f8a_e07c_d4f7,
    0x7873_653b_d08b_93bc,
    0x2651_b5e5_7de2_ac70,
    0x0ed1_ecad_27ea_c675,
    0xd075_6b78_9ffa_99a0,
    0xaa0e_22b5_ab29_8389,
    0xa3f4_a778_7a3c_23fb,
    0x863f_70e3_e3ef_39ab,
    0xf9ea_bacc_06bc_7746,
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
