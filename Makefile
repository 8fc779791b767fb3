# The virtual environment with the pinned libraries and tools. The build command of deploy/balancer.toml makes
# one with the libraries only.
VENV ?= .venv
PYTHON = $(VENV)/bin/python

# The kit of the operators' bench, in a folder beside the repository; no file of it is committed.
KIT ?= ../given/kit

.PHONY: build test lint run gearman sites measure-learning measure-handover capacity soak

build: $(VENV)/dev

$(VENV)/dev: requirements.txt requirements-peers.txt requirements-lab.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements-dev.txt
	cp requirements.txt $(VENV)/built-from
	touch $@

test: build
	$(PYTHON) -m pytest

lint: build
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

# On the platform, the environment variable GW_CONFIG names the configuration file.
run: build
	trap '' HUP; exec $(PYTHON) -m hazellead

gearman: build
	trap '' HUP; exec $(PYTHON) -m hazellead deploy/gearman.toml

# Copies the kit's site files into deploy/sites, where the bench looks for them.
sites:
	cp -f $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

# Measures what learning from a running instance gains and costs; takes about fifteen minutes on eight cores.
measure-learning: build
	$(PYTHON) -m hazellead.lab.measure_learning

# Measures what replacing a serving process costs its clients, compared with a restart; takes a minute.
measure-handover: build
	$(PYTHON) -m hazellead.lab.measure_handover

# Measures what the program costs at the users' fleet size: writes docs/capacity/result.json and renders
# docs/CAPACITY.md from it. Takes under 20 minutes on eight cores; for options see
# `$(PYTHON) -m hazellead.lab.capacity --help`.
capacity: build
	$(PYTHON) -m hazellead.lab.capacity

# Soak test: seeded runs of real schedulers with random faults, checked from outside the process. A run takes
# about 20 s; by default two run at once.
SEED ?= 1
RUNS ?= 1
AT_ONCE ?= 2
soak: build
	$(PYTHON) -m hazellead.lab.soak --seed $(SEED) --runs $(RUNS) --at-once $(AT_ONCE)
