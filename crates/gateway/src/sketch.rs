//! A count-min sketch: counts by key in fixed space, never too low while nothing is taken off.

/// Rows of counters, each with its own hash; a key's count is the smallest of its cells.
#[derive(Clone, Debug)]
pub struct CountMinSketch {
    seeds: Vec<u64>,
    columns: usize,
    cells: Vec<f64>,
}

impl CountMinSketch {
    /// A sketch with one row for each seed, of `columns` counters each.
    ///
    /// # Panics
    /// If there is no seed or no column.
    pub fn new(seeds: Vec<u64>, columns: usize) -> Self {
        assert!(!seeds.is_empty() && columns > 0, "a sketch needs rows and columns");
        let cells = vec![0.0; seeds.len() * columns];
        Self { seeds, columns, cells }
    }

    /// Adds `amount`, which may be negative to take back what was added, and returns the new estimate.
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

    /// The count of a key: all that was added for it, and perhaps some of others.
    pub fn estimate(&self, key: &str) -> f64 {
        let base = fnv1a(key);
        (0..self.seeds.len()).map(|row| self.cells[self.cell(row, base)]).fold(f64::INFINITY, f64::min)
    }

    /// Forgets all counts.
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

/// The finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
