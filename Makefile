# make demo: builds the binary and runs the demonstration on loopback.
# make test: checks and tests everything that needs no other machine.

.PHONY: all build demo test lint spec bench generate

all: build

build:
	go build -o bin/waxwingcart ./cmd/waxwingcart

demo:
	./scripts/require.sh go curl sha256sum
	$(MAKE) build
	./scripts/demo.sh

test:
	./scripts/require.sh go gcc git
	$(MAKE) lint build
	./scripts/test.sh

lint:
	./scripts/lint.sh

spec:
	./scripts/require.sh spin gcc
	./spec/check.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

generate:
	./scripts/generate.sh
