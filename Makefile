# Targets for developers and CI; `make help` lists them.
BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files '*.cc' '*.h')

.DEFAULT_GOAL := help
.PHONY: help deps build format format-check layers statements lint test check demo bench \
  dissemination capacity soak clean

help: ## List every target
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 16

deps: ## Install missing packages (Debian 12, as root)
	@tools/install-deps

build: ## Build everything into $(BUILD)
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@ninja -C $(BUILD) -j $(JOBS) --quiet

format: ## Format all sources
	@clang-format -i $(SOURCES)

format-check: ## Fail when a source is not formatted
	@clang-format --dry-run -Werror $(SOURCES)

layers: ## Fail when a layer includes one that depends on it
	@tools/check-layers

statements: ## Fail when something decoded of replicas' answers decides nothing
	@tools/check-statements

lint: build ## Run clang-tidy over all sources
	@tools/lint $(BUILD) $(JOBS)

test: build ## Run unit tests and process tests
	@tools/run-tests $(BUILD)

check: format-check layers statements build lint test ## Run all checks of CI

demo: deps build ## Send requests through a deployment on loopback, print answers
	@$(BUILD)/tests/demo

bench: build ## Run the benchmarks of load decisions and of the request path
	@$(BUILD)/bench/bench_path
	@$(BUILD)/bench/bench_decisions
	@$(BUILD)/bench/decision_cost
	@$(BUILD)/bench/retry_budget
	@$(BUILD)/bench/replica_rows
	@$(BUILD)/bench/config_change
	@$(BUILD)/bench/bench_gateway_load

dissemination: build ## Measure how fast settings spread (up to 60 entries)
	@$(BUILD)/bench/bench_dissemination

capacity: build ## Measure the slopes used in docs/CAPACITY.md
	@$(BUILD)/bench/bench_capacity 2> /dev/null

SEED ?= $(shell date +%s)
SEEDS ?= 10
soak: build ## Inject random faults into real gateways: SEED=1 SEEDS=50
	@$(BUILD)/tests/soak --seed $(SEED) --seeds $(SEEDS)

clean: ## Remove the build folder
	@rm -rf $(BUILD)
