# Convenience targets for CMake and the scripts. `make help` lists them.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all help deps build test demo bench format format-check lint sanitize pages clean

all: build

help:
	@echo "make            build everything into $(BUILD)"
	@echo "make test       install dependencies, build, run every test"
	@echo "make demo       install dependencies, build, run the demo"
	@echo "make bench      run the benchmarks and check their bounds"
	@echo "make format     format the sources with clang-format"
	@echo "make format-check, make lint, make sanitize"
	@echo "make pages      generate the reference pages in docs/"

deps:
	@sh cmake/install-deps.sh

build:
	@cmake --preset release -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: deps build
	@ctest --test-dir $(BUILD) --output-on-failure -j 3

demo: deps build
	@bash testsuite/demo.sh $(BUILD)

bench: deps build
	@bash testsuite/bench.sh $(BUILD)

format:
	@git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs clang-format -i

format-check:
	@git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs clang-format --dry-run -Werror

lint: deps build
	@sh cmake/lint.sh $(BUILD) $(JOBS)

sanitize: deps
	@sh cmake/sanitize.sh $(JOBS)

pages: build
	@$(BUILD)/bin/fulmarquay reference settings > docs/SETTINGS.md
	@$(BUILD)/bin/fulmarquay reference log-events > docs/LOG-EVENTS.md
	@sh cmake/programs-page.sh $(BUILD) > docs/PROGRAMS.md

clean:
	@rm -rf $(BUILD)
