//! Volatile decisions of the leader over the replicated state.
