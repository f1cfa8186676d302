//! The count-min sketch never underestimates.

use ivygate_gateway::CountMinSketch;

#[test]
fn never_underestimates_and_clears() {
    let mut sketch = CountMinSketch::new(vec![1, 2, 3], 8);
    for i in 0..100 {
        sketch.add(&format!("k{i}"), f64::from(i));
    }
    for i in 0..100 {
        assert!(sketch.estimate(&format!("k{i}")) >= f64::from(i));
    }
    sketch.clear();
    assert_eq!(sketch.estimate("k7"), 0.0);
}

#[test]
fn is_exact_without_collisions_and_subtracts() {
    let mut sketch = CountMinSketch::new(vec![9, 8, 7, 6], 4096);
    assert_eq!(sketch.add("a", 2.0), 2.0);
    sketch.add("b", 5.0);
    assert_eq!(sketch.add("a", -1.0), 1.0);
    assert_eq!(sketch.estimate("b"), 5.0);
}
