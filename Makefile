# Everything a fresh machine needs: Go, a C compiler and the package registries.
BINARIES := bin/spoolbankd bin/spoolbank bin/spoolfake

.PHONY: build demo check test lint format model bench fuzz soak

build:
	go build -o bin/ ./cmd/...

# demo runs a whole deployment on loopback and checks every answer.
demo: build
	scripts/demo.sh

# check is what CI runs.
check: format lint model test

format:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }

lint:
	go vet ./...
	go tool staticcheck ./...

test:
	scripts/test.sh

# model checks the specifications of the core protocol and their mutants.
model:
	model/check.sh

bench:
	go test -run '^$$' -bench . -benchmem ./internal/core/... ./internal/relay

# soak runs fifty seeds of the fault soak; docs/SOAK.md has the flags.
soak:
	go test ./platform/soak -seeds 50 -timeout 30m -v
