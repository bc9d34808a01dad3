#!/bin/sh
# Makes the messages and the services' stubs from store.proto (needs grpcio-tools and mypy-protobuf).
cd "$(dirname "$0")/../../.." && python -m grpc_tools.protoc -I. --python_out=. --mypy_out=. --grpclib_python_out=. \
    gladegw/control/wire/store.proto
