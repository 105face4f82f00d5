//! Routing of callers' requests to upstreams.
