package main

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

func TestFilterEvents(t *testing.T) {
	const failA = `{"Action":"fail","Package":"p","Test":"TestA"}` + "\n"
	const failB = `{"Action":"fail","Package":"p","Test":"TestB"}` + "\n"
	const failPackage = `{"Action":"fail","Package":"p"}` + "\n"
	known := map[string]string{"p TestA": "p TestA seed 1"}
	tests := []struct {
		name               string
		in                 string
		failed, passedOver int
	}{
		{"listed failure is passed over", failA + failPackage, 0, 1},
		{"unlisted failure counts", failB + failPackage, 2, 0},
		{"listed failure does not hide another", failA + failB + failPackage, 2, 1},
		{"package that fails without a test counts", failPackage, 1, 0},
		{"build failure counts", `{"Action":"build-fail","Package":"p"}` + "\n", 1, 0},
		{"listed failure does not hide an ended process", failA + `{"Action":"run","Package":"p","Test":"TestB"}` + "\n" + failPackage, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := filterEvents(strings.NewReader(test.in), io.Discard, known)
			if err != nil {
				t.Fatal(err)
			}
			if got.failed != test.failed || got.passedOver != test.passedOver {
				t.Fatalf("failed %d, passed over %d; want %d, %d", got.failed, got.passedOver, test.failed, test.passedOver)
			}
		})
	}
}

// TestUnfinishedOutput guards against a failure without a cause: a process that ends within a test leaves its last output with
// that test, for which go test then reports no result.
func TestUnfinishedOutput(t *testing.T) {
	in := `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"output of a test that passes\n"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Test":"TestB","Output":"too many goroutines, dying\n"}
{"Action":"output","Package":"p","Output":"FAIL\tp\t0.002s\n"}
{"Action":"fail","Package":"p"}
{"Action":"build-output","ImportPath":"q [q.test]","Output":"q.go:1: syntax error\n"}
{"Action":"build-fail","ImportPath":"q [q.test]"}
`
	var out bytes.Buffer
	if _, err := filterEvents(strings.NewReader(in), &out, nil); err != nil {
		t.Fatal(err)
	}
	for text, printed := range map[string]bool{
		"UNFINISHED p TestB": true, "too many goroutines, dying": true, "FAIL\tp": true, "q.go:1: syntax error": true, "a test that passes": false,
	} {
		if strings.Contains(out.String(), text) != printed {
			t.Errorf("%q printed: %v, want %v, in:\n%s", text, !printed, printed, out.String())
		}
	}
}
