# Every target runs from a fresh clone; the tools are pinned in tools/go.mod.
BIN := bin
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: all build demo test fmt-check lint vet unit generate generate-check measure soak clean

all: build

build:
	$(GO) build -o $(BIN)/sassafrasreach ./cmd/sassafrasreach

# The main job: control and entry processes on loopback, stand-in endpoints,
# one document and a request of each kind through them.
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

# The tests of the whole system run real processes; they come after the others,
# so that both have the machine to themselves.
unit:
	GO=$(GO) ./scripts/unit.sh
	$(GO) test -race -parallel 6 -timeout 20m ./internal/systemtest
	$(GO) test -count=1 -v -timeout 10m -run '^TestFleetSoak' ./platform

generate:
	./scripts/generate.sh api

generate-check:
	./scripts/generate-check.sh

# Load and faults on real processes at today's size: one after the other, then
# every pair at once. Then random faults on gateways and controllers, with seeds
# that weren't played before.
soak: build
	SOAK_SECONDS=90 $(GO) test -v -count=1 -timeout 10m -run TestSoak ./internal/systemtest
	SOAK_SECONDS=40 SOAK_SEEDS=3 SOAK_FIRST=$$(date +%s) $(GO) test -v -count=1 -timeout 10m -run 'TestFleetSoak$$' ./platform

# Prints the measurements that the docs cite and writes docs/MEASUREMENTS.md.
measure: build
	$(GO) run ./internal/measure/cmd/measure -commit $$(git rev-parse --short HEAD) -out docs/MEASUREMENTS.md
	$(GO) run ./internal/measure/controlcost -append docs/MEASUREMENTS.md
	MEASURE=1 MEASURE_OUT=$(CURDIR)/docs/MEASUREMENTS.md $(GO) test -v -count=1 -timeout 20m -run TestMeasure ./internal/systemtest

clean:
	rm -rf $(BIN)
