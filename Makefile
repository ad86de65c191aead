GO ?= go

.PHONY: tools build demo test format-check lint models unit prove mutants experiment soak replay

build:
	@mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

# Builds gopls, which renames identifiers in all packages and tests at once. Its
# dependencies conflict with the newer versions that staticcheck requires, so it has a
# separate module.
tools:
	@mkdir -p bin
	$(GO) -C hack/gopls build -o ../../bin/gopls golang.org/x/tools/gopls

# Runs both demo workloads with real processes on a simulated platform and simulated
# engines, in less than a minute.
demo: build
	@./hack/demo.sh

# Runs the same checks as CI.
test: format-check lint models unit

format-check:
	@unformatted=$$(gofmt -l api cmd internal platform test); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

models:
	@./spec/check.sh

unit:
	@GO=$(GO) ./hack/unit.sh

# Runs the failure tests with real processes and prints one line per promise at the end.
prove:
	@$(GO) test -count=1 -v ./test/prove 2>&1 | sed 's/\x1b\[[0-9;]*m//g' | grep -E '^(promise|prove:|ok|FAIL|---|\s+\[FAILED\])|restart to first|herd:|in force everywhere:'

# Disables one mechanism at a time in a scratch copy; the test of the mechanism must then
# fail.
mutants:
	@./hack/mutants.sh

# Compares placement with baselines and an oracle in virtual time, in less than 3 minutes.
experiment: build
	@./bin/clovertiller-lab experiment --plots out/experiment

# Runs gateway processes under random faults that are injected from outside, with the seeds
# that have failed before and with three new seeds, half a minute each.
soak: build
	@mkdir -p out
	@./hack/soak.sh

# Runs the days of the users' bench that have failed before, and our own days, with the
# current code. SYSTEM is the folder of the users' pages, and BENCH is the path of the newest
# bench.
SYSTEM ?= ../given/kit/more/system
BENCH ?= $(SYSTEM)/more/bench-9713e2/bin/fleetbench
replay:
	@./hack/replay-days.sh $(SYSTEM) $(BENCH)
