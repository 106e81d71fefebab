# Wraps CMake. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all help deps build test demo bench format format-check lint sanitize pages clean

all: build

help:
	@echo "make            build everything into $(BUILD)"
	@echo "make test       install what is needed, build, run every test"
	@echo "make demo       install what is needed, build, run the demo"
	@echo "make bench      run the benchmarks with their bounds"
	@echo "make format     rewrite the sources in the project's format"
	@echo "make format-check, make lint, make sanitize"
	@echo "make pages      write the generated pages in docs/"

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
