package main

import (
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
