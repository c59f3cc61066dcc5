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
	@out="$$($(TOOL) gofumpt -l cmd config internal platform)"; \
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
	bin/gdrig soak --seed 3 --trouble 4

# Writes the committed generated code anew; the build does not need it. It
# takes protoc, and builds the generators from the tools module.
generate:
	@dir="$$(mktemp -d)"; trap 'rm -rf "$$dir"' EXIT; \
	$(GO) build -modfile=tools/go.mod -o "$$dir/" \
	  google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp && \
	PATH="$$dir:$$PATH" protoc --proto_path=. \
	  --go_out=. --go_opt=module=godwitdrift.example/godwitdrift \
	  --twirp_out=. --twirp_opt=module=godwitdrift.example/godwitdrift \
	  internal/wire/gdpeerpb/peer.proto

clean:
	rm -rf bin
