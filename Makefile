.PHONY: build test lint fleet run scenario check compare regress standing standing-full

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...

# Emulated cache servers, an origin and a list service on loopback, and the configuration of a router for them.
fleet: build
	bin/trestle-experiment fleet --config bin/fleet.json

# The router for them; `make fleet` has to run in another terminal.
run: build
	GW_CONFIG=bin/fleet.json bin/bendtrestle

# The settings in effect with that configuration.
check: build
	GW_CONFIG=bin/fleet.json bin/bendtrestle check --operators deploy/operators.toml

# A scenario with faults and a check of the rules: make scenario S=deploy
S = crash
scenario: build
	bin/trestle-experiment run examples/scenarios/$(S).toml

# This tree compared with another router: make compare S=stall B=least
B = random
compare: build
	bin/trestle-experiment compare examples/scenarios/$(S).toml --a head --b $(B)

# Both sets of days, the operators' and the earlier ones, each by the bench that covers them, one after another; KIT is the folder of
# the operators' kit: make regress KIT=... WHY="what changed"
KIT =
WHY = Both sets of days after a change
SITE = $(KIT)/sites/samabay-booking.toml
regress:
	test -d "$(KIT)"
	$(KIT)/more/ops/bin/lbreal score $(SITE) --quick --why "$(WHY)"
	$(KIT)/more/ops/bin/lbreal score $(SITE) --panel later --quick --why "$(WHY)"
	$(KIT)/more/bin/lbreal score $(SITE) --quick --why "$(WHY)"
	$(MAKE) standing KIT="$(KIT)" WHY="$(WHY)"

# The standing test, quick and in full: what does not say in its last lines that the gate was passed is an error.
QUICK =
standing: QUICK = --quick
standing standing-full:
	test -d "$(KIT)"
	mkdir -p bin
	$(KIT)/more/mass/bin/lbreal score $(SITE) $(QUICK) --why "$(WHY)" | tee bin/standing.txt
	grep -q '^GATE passed' bin/standing.txt
