"""Routes and pools: decide where each request goes, without I/O, a clock or a random source."""
