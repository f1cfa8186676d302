//! A count-min sketch: counts by key in fixed space that never underestimate as long as nothing is subtracted.

/// Approximate counts by key: rows of counters, each with its own hash; the estimate of a key is its smallest counter.
#[derive(Clone, Debug)]
pub struct CountMinSketch {
    seeds: Vec<u64>,
    columns: usize,
    cells: Vec<f64>,
}

impl CountMinSketch {
    /// Creates a sketch with one row of `columns` counters for each seed.
    ///
    /// # Panics
    /// Panics if `seeds` is empty or `columns` is 0.
    pub fn new(seeds: Vec<u64>, columns: usize) -> Self {
        assert!(!seeds.is_empty() && columns > 0, "a sketch needs at least one row and one column");
        let cells = vec![0.0; seeds.len() * columns];
        Self { seeds, columns, cells }
    }

    /// Adds `amount` and returns the new estimate. A negative amount undoes an earlier addition.
    pub fn add(&mut self, key: &str, amount: f64) -> f64 {
        let base = fnv1a(key);
        let mut least = f64::INFINITY;
        for row in 0..self.seeds.len() {
            let cell = self.cell(row, base);
            self.cells[cell] += amount;
            least = least.min(self.cells[cell]);
        }
        least
    }

    /// Returns the estimate of a key: the sum of its amounts, and possibly amounts of colliding keys.
    pub fn estimate(&self, key: &str) -> f64 {
        let base = fnv1a(key);
        (0..self.seeds.len()).map(|row| self.cells[self.cell(row, base)]).fold(f64::INFINITY, f64::min)
    }

    /// Resets all counters.
    pub fn clear(&mut self) {
        self.cells.fill(0.0);
    }

    fn cell(&self, row: usize, base: u64) -> usize {
        row * self.columns + (mix(base ^ self.seeds[row]) % self.columns as u64) as usize
    }
}

fn fnv1a(key: &str) -> u64 {
    key.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Mixes the bits of a hash with the SplitMix64 finalizer.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
