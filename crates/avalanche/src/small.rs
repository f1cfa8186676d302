//! Every way that a small world can take.
