//! Request counts that agree with those of partners.
