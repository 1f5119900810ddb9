# Common tasks. Recipes use only the Go toolchain.

.PHONY: demo test ci format

# demo runs the whole query path in one process.
demo:
	go run ./demo

# test runs all tests. The count is fixed so that results are not taken from the cache.
test:
	go test -count=1 -timeout 8m ./...

# ci runs every check that a change must pass.
ci:
	bash .ci/run

# format rewrites all Go files.
format:
	go tool -modfile=tools/go.mod gofumpt -w .
