# Common tasks. Recipes use only the Go toolchain.

.PHONY: demo test ci format

# demo runs the whole query path in one process.
demo:
	go run ./demo

# KNOWN_RED matches the tests that KNOWN-RED.txt lists; they fail because of a fault that is not mended yet. Empty: none.
KNOWN_RED = ^TestRequestsNearTheEndOfAStopAreAnswered$$

SKIP = $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

# test runs all tests but those, with the race detector. The count is fixed so that results are not taken from the cache. The tests with
# crowds of callers run last and without the race detector, because they need the processor for themselves.
test:
	go test -race -count=1 -timeout 15m $(SKIP) $$(go list ./... | grep -v '/test/crowd$$')
	go test -count=1 -timeout 10m $(SKIP) ./test/crowd

# ci runs every check that a change must pass.
ci:
	bash .ci/run

# format rewrites all Go files.
format:
	go tool -modfile=tools/go.mod gofumpt -w .

# bench runs the scenarios of both deployments and fails when a figure is past its bound.
BENCH_SCENARIOS = steady,stragglers,replica-loss,shed,cold-start,drain,repartition,silent,partition,platform-down,vm-replacement,overload

.PHONY: bench
bench:
	go run ./bench -deployment directorate -scenario $(BENCH_SCENARIOS) -bounds bench/bounds.json -format table
	go run ./bench -deployment pukk -scenario $(BENCH_SCENARIOS) -bounds bench/bounds.json -format table
