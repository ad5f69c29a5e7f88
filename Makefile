# Every target works in a fresh clone. The tools are pinned in tools/go.mod.
BIN := bin
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: all build demo test fmt-check lint vet unit generate generate-check measure soak clean

all: build

build:
	$(GO) build -o $(BIN)/sassafrasreach ./cmd/sassafrasreach

# Demonstrates the main use case: it starts control and entry processes and
# stand-in endpoints on loopback, applies one document and sends a request of each
# kind.
demo: build
	./scripts/demo.sh

test: fmt-check vet lint generate-check build unit

fmt-check:
	@out=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$out" ]; then echo "gofmt: these files need formatting:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(TOOL) golangci-lint run --allow-parallel-runners ./...

# The tests of the whole system run real processes. They run after the other
# tests, so that the two don't compete for the machine.
unit:
	GO=$(GO) ./scripts/unit.sh
	$(GO) test -race -parallel 6 -timeout 20m -skip '^TestUntrusted' ./internal/systemtest
	GO=$(GO) ./scripts/untrusted.sh
	$(GO) test -count=1 -v -timeout 10m -run '^TestFleetSoak' ./platform

generate:
	./scripts/generate.sh api

generate-check:
	./scripts/generate-check.sh

# Runs real processes under load and faults, at the size of one user's deployment:
# first one fault after the other, then pairs of faults at once. Then it injects
# random faults into gateways and controllers, with new seeds on each run.
soak: build
	SOAK_SECONDS=90 $(GO) test -v -count=1 -timeout 10m -run TestSoak ./internal/systemtest
	SOAK_SECONDS=40 SOAK_SEEDS=3 SOAK_FIRST=$$(date +%s) $(GO) test -v -count=1 -timeout 10m -run 'TestFleetSoak$$|TestFleetSoakBesideChanges$$' ./platform

# Prints the measurements that the docs cite and writes them to
# docs/MEASUREMENTS.md.
measure: build
	$(GO) run ./internal/measure/cmd/measure -commit $$(git rev-parse --short HEAD) -out docs/MEASUREMENTS.md
	$(GO) run ./internal/measure/controlcost -append docs/MEASUREMENTS.md
	MEASURE=1 MEASURE_OUT=$(CURDIR)/docs/MEASUREMENTS.md $(GO) test -v -count=1 -timeout 20m -run TestMeasure ./internal/systemtest

clean:
	rm -rf $(BIN)
