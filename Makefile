GO ?= go

.PHONY: tools build demo test format-check lint models unit prove mutants experiment soak replay

build:
	@mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

# gopls, which renames identifiers in all packages and tests at once. Its libraries
# clash with the newer ones of staticcheck, so it has a module of its own.
tools:
	@mkdir -p bin
	$(GO) -C hack/gopls build -o ../../bin/gopls golang.org/x/tools/gopls

# The main job with real processes and the embedded stand-ins; under a minute.
demo: build
	@./hack/demo.sh

# Everything that CI runs.
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

# The failure tests over real processes, one line a promise at the end.
prove:
	@$(GO) test -count=1 -v ./test/prove 2>&1 | sed 's/\x1b\[[0-9;]*m//g' | grep -E '^(promise|prove:|ok|FAIL|---|\s+\[FAILED\])|restart to first|herd:|in force everywhere:'

# Each mechanism removed in a scratch copy: its proof must then fail.
mutants:
	@./hack/mutants.sh

# Placement against baselines and an oracle, in emulated time; under 3 minutes.
experiment: build
	@./bin/clovertiller-lab experiment --plots out/experiment

# Gateways as processes under random faults from outside: the seeds that ever
# failed and three fresh ones, half a minute each.
soak: build
	@mkdir -p out
	@./hack/soak.sh

# The days of the users' bench that ever failed, on the code as it is. SYSTEM is
# the folder of the users' pages, BENCH the newest bench.
SYSTEM ?= ../given/kit/more/system
BENCH ?= $(SYSTEM)/more/bench-9713e2/bin/fleetbench
replay:
	@./hack/replay-days.sh $(SYSTEM) $(BENCH)
