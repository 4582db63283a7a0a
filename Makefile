# `make help` lists the targets.
GO       ?= go
LINT_VERSION := v2.12.2
LINT     := $(shell command -v golangci-lint 2>/dev/null || echo $(shell $(GO) env GOPATH)/bin/golangci-lint)
SEED     ?= 1
N        ?= 20
# Tests listed in KNOWN-RED.txt, which fail because of known faults, are skipped; the list is printed. A name may be that of a subtest.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | sed 's,[.],[.],g; s,/,$$/^,g; s,.*,^&$$,' | paste -sd '|' -)
# Only the packages with property tests know the flag -rapid.seed.
PROPERTY = $(shell $(GO) list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$$.ImportPath}}{{end}}{{end}}' ./...)
PLAIN    = $(filter-out $(PROPERTY),$(shell $(GO) list ./...))
SKIP     := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)',)

.PHONY: help build standins demo test bench lint check model soak soak-processes fuzz generate format clean
help: ## list the make targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/' | expand -t 12

build: ## build bin/hemlockhollow
	$(GO) build -o bin/hemlockhollow .

standins: build ## build the stand-ins for the platform, the targets and the callers
	$(GO) build -o bin/ ./standin/...

demo: standins ## run nodes and stand-ins as separate processes under load with faults
	bin/demo --binaries bin --examples examples

test: ## run all tests and the model checker
	@if [ -s KNOWN-RED.txt ]; then echo "known red, passed over:"; cat KNOWN-RED.txt; fi
	$(GO) test -count=1 -timeout 10m $(SKIP) $(PLAIN)
	$(if $(PROPERTY),$(GO) test -count=1 -timeout 10m $(SKIP) $(PROPERTY) -rapid.seed=$(SEED))
	$(MAKE) model

model: ## check the models in spec/ exhaustively
	@command -v spin >/dev/null || (apt-get update && apt-get install -y --no-install-recommends spin)
	sh spec/check.sh

bench: ## simulate overload and faults in virtual time for both deployments
	$(GO) run ./standin/bench

lint: ## run go vet and the linter, which also checks the format
	@[ -x "$(LINT)" ] || $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	$(GO) vet ./...
	$(LINT) run ./...

format: ## format all files
	$(LINT) fmt ./...

check: lint test ## run the linter and all tests

soak: ## run the property tests with N seeds starting at SEED
	@for i in $$(seq $(SEED) $$(( $(SEED) + $(N) - 1 ))); do \
		echo "seed $$i"; $(GO) test -count=1 $(PROPERTY) -rapid.seed=$$i || exit 1; done

soak-processes: ## run the fault soak test with separate processes, N seeds starting at SEED
	$(GO) test -count=1 -timeout 120m -run '^TestSoak$$' ./platform/hemlocksidecar -soak-seed=$(SEED) -soak-seeds=$(N)

fuzz: ## run the fuzz tests of the parsers of external input, 20 s each
	@for p in $$($(GO) list ./...); do for f in $$($(GO) test -list '^Fuzz' $$p 2>/dev/null | grep '^Fuzz'); do \
		$(GO) test -run '^$$' -fuzz "^$$f$$" -fuzztime 20s $$p || exit 1; done; done

generate: ## regenerate the generated code in the repository
	$(GO) install google.golang.org/protobuf/cmd/protoc-gen-go
	$(GO) install storj.io/drpc/cmd/protoc-gen-go-drpc@v1.1.0
	$(GO) install github.com/google/wire/cmd/wire@v0.7.0
	PATH="$$PATH:$$($(GO) env GOPATH)/bin" $(GO) generate ./...

clean: ## remove the built programs
	rm -rf bin
