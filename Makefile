GO ?= go

.PHONY: build demo test format-check lint models unit

build:
	@mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

# The main job with real processes and the embedded stand-ins; under a minute.
demo: build
	@./hack/demo.sh

# Everything that CI runs.
test: format-check lint models unit

format-check:
	@unformatted=$$(gofmt -l api cmd internal); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

models:
	@./spec/check.sh

unit:
	$(GO) test -count=1 ./...
