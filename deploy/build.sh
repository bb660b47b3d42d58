#!/bin/sh
# Places the libraries and the workspace's packages under target/deps.
set -eu
if [ ! target/.libraries -nt deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check --no-warn-script-location \
        -U --target target/deps -r deploy/requirements.txt
    touch target/.libraries
fi
rm -rf target/deps/peridot_*
cp -r packages/wire/peridot_wire packages/objects/peridot_objects \
    packages/resources/peridot_resources packages/scheduling/peridot_scheduling \
    packages/placement/peridot_placement \
    packages/routing/peridot_routing packages/ownership/peridot_ownership \
    packages/daemon/peridot_daemon packages/gateway/peridot_gateway \
    platform/peridot_platform target/deps/
python3 -m compileall -q target/deps/peridot_*
