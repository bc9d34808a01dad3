"""All decisions: admission, queueing, retries, server selection and health. Pure: no I/O, no clock."""
