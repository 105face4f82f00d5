//! Leader election and log replication.
