package contract_test

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
)

func goodDocument(t testing.TB) string {
	data, err := os.ReadFile("testdata/good.toml")
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

func load(text string) (*contract.Snapshot, error) {
	document, err := contract.Parse("f.toml", []byte(text))
	if err != nil {
		return nil, err
	}
	return contract.Build(document, 1)
}

// badInputs each replace one text of testdata/good.toml; want is the whole reported line.
var badInputs = []struct{ name, old, new, want string }{
	{"not TOML at all", "[[zones]]", "{\"zones\": 1}", `f.toml:2: invalid character at start of key: U+007B '{'`},
	{"unterminated string", `"nairobi"`, `"nairobi`, `f.toml:4: basic strings cannot have new lines`},
	{"invalid UTF-8", "Cheap", "Ch\xffap", `f.toml:39: not valid UTF-8`},
	{"over 1 MB", "# Cheap", strings.Repeat("#", 1<<20), `f.toml: the document has 1049863 bytes, at most 1048576 are allowed`},
	{"wrong type", "weight = 0.5", `weight = "half"`, `f.toml:29: models.versions.weight: cannot decode TOML string into struct field contract.ModelVersion.Weight of type float64`},
	{"number for a list", `versions = ["v1", "v2"]`, "versions = 2", `f.toml:43: pools.versions: cannot decode TOML integer into struct field contract.Pool.Versions of type []string`},
	{"unknown field", "prompt_price_micros = 100", "prompt_price = 100", `f.toml:25: models.versions.prompt_price: unknown field`},
	{"unknown table", "[sessions]", "[session]", `f.toml:69: session: unknown field`},
	{"key twice", `region = "nairobi"`, "region = \"nairobi\"\nregion = \"x\"", `f.toml:5: region: key region is already defined`},
	{"no zone", "[[zones]]\nname = \"nbo-a\"\nregion = \"nairobi\"\n\n[[zones]]\nname = \"nbo-b\"\nregion = \"nairobi\"\n", "", `f.toml: zones: no zone is configured`},
	{"no region", `region = "nairobi"`, ``, `f.toml:2: zones "nbo-a": region: bad or missing region ""`},
	{"duplicate zone", `"nbo-b"`, `"nbo-a"`, `f.toml:7: zones "nbo-a": name: duplicate name`},
	{"duplicate version", `name = "v2"`, `name = "v1"`, `f.toml:28: models "small@v1": name: duplicate name`},
	{"name with a space", `name = "booking-app"`, `name = "booking app"`, `f.toml:52: pools "booking app": name: bad name: want letters, digits and ._- after a letter or digit, not too long`},
	{"name too long", `name = "beta"`, `name = "` + strings.Repeat("b", 65) + `"`, `bad name: want letters, digits and ._- after a letter or digit, not too long`},
	{"model name with @", `name = "large"`, `name = "large@2"`, `f.toml:33: models "large@2": name: bad name: want letters, digits and ._- after a letter or digit, not too long`},
	{"route to unknown pool", `"large-engines"]`, `"none"]`, `f.toml:60: routes "assistant": pools: unknown pool "none"`},
	{"pool to unknown route", `["bookings"]`, `["bookings", "none"]`, `f.toml:54: pools "booking-app": routes: unknown route "none"`},
	{"pool does not list the route", "model = \"large\"\nroutes = [\"assistant\"]", `model = "large"`, `f.toml:59: routes "assistant": pools: pool "large-engines" does not list the route`},
	{"route does not list the pool", `, "large-engines"]`, `]`, `f.toml:49: pools "large-engines": routes: route "assistant" does not list the pool`},
	{"empty pools", `["small-engines", "large-engines"]`, `[]`, `f.toml:60: routes "assistant": pools: the route names no pool`},
	{"pool of unknown model", `model = "large"`, `model = "huge"`, `f.toml:48: pools "large-engines": model: unknown model "huge"`},
	{"pool of unknown version", `["v1", "v2"]`, `["v3"]`, `f.toml:43: pools "small-engines": versions: unknown version "v3" of model "small"`},
	{"withdrawn only", "prompt_price_micros = 900", `state = "withdrawn"`, `f.toml:46: pools "large-engines": every version that the pool may serve is withdrawn`},
	{"model without version", "[[models.versions]]\nname = \"v1\"\nprompt_price_micros = 900\nquality = 0.9", "", `f.toml:32: models "large": the model has no version`},
	{"bad state", "weight = 0.5", `state = "retired"`, `f.toml:29: models "small@v2": state: "retired" is not active, draining or withdrawn`},
	{"negative weight", "weight = 0.5", "weight = -1", `f.toml:29: models "small@v2": weight: -1 is not a number of at least 0`},
	{"weight not a number", "weight = 0.5", "weight = nan", `f.toml:29: models "small@v2": weight: NaN is not a number of at least 0`},
	{"infinite rate", "requests_per_second = 50.0", "requests_per_second = inf", `f.toml:14: customers "acme": requests_per_second: +Inf is not a number of at least 0`},
	{"negative price", "prompt_price_micros = 900", "prompt_price_micros = -1", `f.toml:36: models "large@v1": prompt_price_micros: -1 is not between 0 and 1000000000000 micro-units`},
	{"number too large", "prompt_price_micros = 900", "prompt_price_micros = 99999999999999999999", `f.toml:36: models.versions.prompt_price_micros: decimal number is too large to fit in a 64-bit signed integer`},
	{"quality above 1", "quality = 0.9", "quality = 9", `f.toml:37: models "large@v1": quality: 9 is not between 0 and 1`},
	{"unreachable target", "quality_target = 0.85", "quality_target = 0.95", `f.toml:61: routes "assistant": quality_target: unreachable: 0.95 is above the best quality 0.9 of the route's versions`},
	{"target of a service", `path_prefix = "/bookings"`, "path_prefix = \"/bookings\"\nquality_target = 0.5", `f.toml:67: routes "bookings": quality_target: a service has no quality target`},
	{"customer may use none", `"large@v1"]`, `"small@v1"]`, `f.toml:58: routes "assistant": customers: customer "acme" may use no version of pool "large-engines"`},
	{"customer of unknown model", `["small", "large"]`, `["small", "large", "huge"]`, `f.toml:19: customers "beta": models: unknown model "huge"`},
	{"customer of unknown version", `"large@v1"]`, `"large@v9", "large"]`, `f.toml:13: customers "acme": models: unknown version "v9" of model "large"`},
	{"route of unknown customer", `["acme", "beta"]`, `["acme", "gamma"]`, `f.toml:58: routes "assistant": customers: unknown customer "gamma"`},
	{"route of nobody", `["acme", "beta"]`, `[]`, `f.toml:58: routes "assistant": customers: the route names no customer`},
	{"same model twice", `path_prefix = "/bookings"`, `model = "assistant"`, `f.toml:65: routes "bookings": customers: route "assistant" gives customer "acme" the same model assistant`},
	{"model and prefix", `path_prefix = "/bookings"`, "path_prefix = \"/bookings\"\nmodel = \"x\"", `f.toml:63: routes "bookings": model and path_prefix are both set`},
	{"neither model nor prefix", `path_prefix = "/bookings"`, "", `f.toml:63: routes "bookings": neither model nor path_prefix is set`},
	{"prefix in the model API", `"/bookings"`, `"/v1/chat"`, `f.toml:66: routes "bookings": path_prefix: "/v1/chat" lies within the model API /v1`},
	{"bad prefix", `"/bookings"`, `"bookings/../x"`, `f.toml:66: routes "bookings": path_prefix: bad path prefix "bookings/../x": want /name or /name/name`},
	{"service route to engines", `["booking-app"]`, `["booking-app", "large-engines"]`, `f.toml:67: routes "bookings": pools: a service route has one pool, not a cascade of 2`},
	{"service with a model", `kind = "service"`, "kind = \"service\"\nmodel = \"small\"", `f.toml:54: pools "booking-app": model: a service pool has no model`},
	{"engines without a model", `kind = "service"`, `kind = "engine"`, `f.toml:51: pools "booking-app": model: unknown model ""`},
	{"bad kind", `kind = "service"`, `kind = "lambda"`, `f.toml:53: pools "booking-app": kind: "lambda" is not engine or service`},
	{"negative limit", `kind = "service"`, "kind = \"service\"\nmax_concurrent = -4", `f.toml:54: pools "booking-app": max_concurrent: -4 is not between 1 and 100000`},
	{"cold above warm", `kind = "service"`, "kind = \"service\"\ncold_concurrent = 99", `f.toml:54: pools "booking-app": cold_concurrent: 99 is above max_concurrent 32`},
	{"negative deadline", "quality_target = 0.85", "deadline_ms = -5", `f.toml:61: routes "assistant": deadline_ms: -5 is not between 1 and 600000`},
	{"bad priority", "requests_per_second = 50.0", "priority = 10", `f.toml:14: customers "acme": priority: 10 is not between 0 and 9`},
	{"negative budget", "requests_per_second = 50.0", "monthly_budget_micros = -1", `f.toml:14: customers "acme": monthly_budget_micros: -1 is negative`},
	{"bad method", `path_prefix = "/bookings"`, "path_prefix = \"/bookings\"\nidempotent_methods = [\"get\"]", `f.toml:67: routes "bookings": idempotent_methods: "get" is not an HTTP method in upper case`},
	{"bad on_withdrawn", "quality_target = 0.85", `on_withdrawn = "retry"`, `f.toml:61: routes "assistant": on_withdrawn: "retry" is not refuse or restart`},
	{"bad when_unconfirmed", "quality_target = 0.85", `when_unconfirmed = "guess"`, `f.toml:61: routes "assistant": when_unconfirmed: "guess" is not serve or refuse`},
	{"no key hash", `key_hashes = ["bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"]`, "", `f.toml:16: customers "beta": key_hashes: no key hash: the customer could never call`},
	{"key in the clear", `bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb`, "sk-beta", `f.toml:18: customers "beta": key_hashes: "sk-beta" is not a hex SHA-256 in lower case`},
	{"shared key", `bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb`, strings.Repeat("a", 64), `f.toml:18: customers "beta": key_hashes: the hash aaaaaaaa… belongs to customer "acme" too`},
	{"weak signing key", `MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=`, `c2hvcnQ=`, `f.toml:70: sessions: signing_keys: key 1 is weak: want at least 32 random bytes`},
	{"signing key not base64", `MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=`, `not base64`, `f.toml:70: sessions: signing_keys: key 1 is not base64`},
	{"order settled twice", "[sessions]", "[orders]\ncleared = [\"1.x\", \"1.x\"]\n[sessions]", `f.toml:70: orders: cleared: "1.x" is listed twice`},
	{"negative lifetime", "[sessions]", "[sessions]\nlifetime_minutes = -1", `f.toml:70: sessions: lifetime_minutes: -1 is not between 1 and 525600`},
}

// TestBadInput checks that each bad input is reported with file, line and name.
func TestBadInput(t *testing.T) {
	base := goodDocument(t)
	for _, bad := range badInputs {
		t.Run(bad.name, func(t *testing.T) {
			qt.Assert(t, strings.Contains(base, bad.old), qt.IsTrue)
			_, err := load(strings.Replace(base, bad.old, bad.new, 1))
			var invalid *contract.ValidationError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			lines := strings.Split(err.Error(), "\n")
			qt.Assert(t, lines, qt.HasLen, len(invalid.Findings))
			for _, line := range lines {
				if line == bad.want || strings.HasSuffix(line, bad.want) && bad.name == "name too long" {
					return
				}
			}
			t.Errorf("got\n%s\nwant the line\n%s", err, bad.want)
		})
	}
}

// TestInlineTables checks that findings in inline tables carry the line of their key.
func TestInlineTables(t *testing.T) {
	_, err := load("zones = [\n{name = \"a\", region = \"r\"},\n{name = \"a\", region = \"r\"}]")
	qt.Assert(t, err, qt.ErrorMatches, `f.toml:3: zones "a": name: duplicate name`)
}

// TestBuildAccepted checks that BuildAccepted ignores unservable findings and no others.
func TestBuildAccepted(t *testing.T) {
	text := strings.Replace(goodDocument(t), "prompt_price_micros = 900", `state = "withdrawn"`, 1)
	document, err := contract.Parse("f.toml", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	_, err = contract.BuildAccepted(document, 1)
	qt.Assert(t, err, qt.IsNil)
	document.Pools[0].Routes = nil
	_, err = contract.BuildAccepted(document, 1)
	qt.Assert(t, err, qt.ErrorMatches, `.*pool "small-engines" does not list the route`)
}

// TestRestrict checks that restrictions take only the named zones and versions out of service and do
// not change the original snapshot.
func TestRestrict(t *testing.T) {
	snapshot, err := load(goodDocument(t))
	qt.Assert(t, err, qt.IsNil)
	v1 := contract.VersionID{Model: "small", Name: "v1"}
	restricted := snapshot.Restrict(contract.Restrictions{
		ZonesOut:          map[string]bool{"nbo-a": true, "nowhere": true, "nbo-b": false},
		VersionsWithdrawn: map[contract.VersionID]bool{v1: true},
	})
	qt.Assert(t, restricted.ZoneInService("nbo-a"), qt.IsFalse)
	qt.Assert(t, restricted.ZoneInService("nbo-b"), qt.IsTrue)
	qt.Assert(t, restricted.Versions[v1].State, qt.Equals, contract.VersionWithdrawn)
	qt.Assert(t, restricted.Models["small"].Versions[0].State, qt.Equals, contract.VersionWithdrawn)
	qt.Assert(t, restricted.Versions[contract.VersionID{Model: "small", Name: "v2"}].State, qt.Equals, contract.VersionActive)
	qt.Assert(t, restricted.Revision, qt.Equals, snapshot.Revision)
	qt.Assert(t, snapshot.ZoneInService("nbo-a"), qt.IsTrue)
	qt.Assert(t, snapshot.Versions[v1].State, qt.Equals, contract.VersionActive)
	route, _ := restricted.ModelRoute("assistant", "acme")
	qt.Assert(t, route, qt.Equals, restricted.Routes["assistant"])
}

// FuzzBuild checks that no input causes a panic and that all references of an accepted document
// resolve.
func FuzzBuild(f *testing.F) {
	f.Add([]byte(goodDocument(f)))
	for _, bad := range badInputs {
		if len(bad.new) < 1000 {
			f.Add([]byte(strings.Replace(goodDocument(f), bad.old, bad.new, 1)))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := load(string(data))
		if err != nil {
			return
		}
		for _, route := range snapshot.Routes {
			for _, name := range route.Customers {
				qt.Assert(t, snapshot.Customers[name], qt.IsNotNil)
			}
			for _, name := range route.Pools {
				qt.Assert(t, snapshot.Pools[name].Routes, qt.Contains, route.Name)
			}
		}
		for _, pool := range snapshot.Pools {
			qt.Assert(t, (pool.Kind == contract.PoolEngine) == (snapshot.Models[pool.Model] != nil), qt.IsTrue)
			for _, name := range pool.Routes {
				qt.Assert(t, snapshot.Routes[name].Pools, qt.Contains, pool.Name)
			}
		}
		checkRoundTrip(t, snapshot.Document, data)
	})
}

// checkRoundTrip checks that an accepted document is unchanged after encoding and decoding it.
func checkRoundTrip(t *testing.T, document *contract.Document, data []byte) {
	text, err := contract.Canonical(document)
	qt.Assert(t, err, qt.IsNil)
	again, err := load(string(text))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
	qt.Assert(t, contract.Changes(document, again.Document), qt.HasLen, 0)
	qt.Assert(t, reflect.DeepEqual(document.Routes, again.Document.Routes), qt.IsTrue)
}
