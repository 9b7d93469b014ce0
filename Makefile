TOOL = go tool -modfile=tools/go.mod
PACKAGES = ./...
# Known failing tests, from the first column of KNOWN-RED.txt, as a pattern for
# go test -skip.
KNOWN_RED = $(shell test -s KNOWN-RED.txt && grep -v '^\#' KNOWN-RED.txt | awk '{print "^" $$1 "$$"}' | paste -sd'|')


.PHONY: build demo demo-up demo-down check format generate generated test race repeat soak

build: ## Builds the commands into bin/.
	go build -o bin/ ./cmd/...

demo: build ## Runs the demo on loopback once and checks the responses.
	scripts/demo.sh run

demo-up: build ## Starts the demo's processes and leaves them running.
	scripts/demo.sh up

demo-down: ## Stops the processes that demo-up started.
	scripts/demo.sh down

check: ## Checks formatting and lint.
	@out=$$($(TOOL) gofumpt -l .); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }
	go vet $(PACKAGES)
	$(TOOL) staticcheck $(PACKAGES)

format: ## Formats the code.
	$(TOOL) gofumpt -w .

generate: ## Regenerates the generated code (needs protoc).
	mkdir -p bin
	GOBIN=$(CURDIR)/bin go install -modfile=tools/go.mod google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH="$(CURDIR)/bin:$$PATH" protoc -I . --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative io/peerpb/peer.proto

generated: ## Checks that the generated code is up to date, if protoc is installed.
	@if command -v protoc >/dev/null 2>&1; then \
		$(MAKE) -s generate && git diff --exit-code -- io/peerpb; \
	else echo "protoc is not installed: generated code not checked"; fi

test: ## Runs all tests.
	go test -count=1 -timeout 600s $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(PACKAGES)

race: ## Runs all tests with the race detector (needs a C compiler).
	go test -count=1 -race -timeout 600s $(PACKAGES)

repeat: ## Runs all tests several times with a given seed: make repeat SEED=7 ROUNDS=5.
	GENTIANWELL_SEED=$(SEED) go test -count=$(or $(ROUNDS),5) -timeout 1800s $(PACKAGES)

soak: ## Runs the soak test, which injects faults into real processes: make soak SEED=7 MINUTES=2 SEEDS=1 DIR=/tmp/soak.
	@for seed in $$(seq $(or $(SEED),1) $$(( $(or $(SEED),1) + $(or $(SEEDS),1) - 1 ))); do \
		GENTIANWELL_SEED=$$seed GENTIANWELL_SOAK_MINUTES=$(MINUTES) GENTIANWELL_SOAK_DIR=$(DIR) \
			go test -count=1 -timeout 3600s -run '^TestSoak$$' -v ./platform || echo "seed $$seed failed"; \
	done
