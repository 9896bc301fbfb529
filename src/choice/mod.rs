//! Choice of upstream, ejection, retries, hedges and suspects.
