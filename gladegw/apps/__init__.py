"""Application descriptions and the sidecar configuration generated from them."""
