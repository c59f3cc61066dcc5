# godwitdrift: `make demo` runs the main job, `make test` passes the tests.
# Linters are Go tools of the tools module, so a fresh machine needs only Go.

GO     ?= go
TOOL   := $(GO) tool -modfile=tools/go.mod
GOPKGS := ./...

.PHONY: all build test format lint vet unit race bench demo generate clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# The whole check, in the order that fails fastest.
test: format vet lint race

format:
	@out="$$($(TOOL) gofumpt -l cmd config internal)"; \
	if [ -n "$$out" ]; then echo "gofumpt: not formatted:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet $(GOPKGS)

lint:
	$(TOOL) staticcheck $(GOPKGS)
	$(TOOL) revive -config tools/revive.toml -set_exit_status $(GOPKGS)

unit:
	$(GO) test $(GOPKGS)

race:
	tools/test-race.sh

bench:
	$(GO) test -run '^$$' -bench . -benchtime 1s $(GOPKGS)

demo: build
	bin/gdrig demo --deployment examples/rejilla-norte

clean:
	rm -rf bin
