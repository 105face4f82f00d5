//! What all programs share: settings, logs, metrics, listeners.
