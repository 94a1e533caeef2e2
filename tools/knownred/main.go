// Command knownred filters the output of `go test -json`: it prints the failures and a summary, and exits
// with 1 if a test or build fails that KNOWN-RED.txt does not list, or if no test passed, and with 2 if it
// can't read its input. Listed failures are printed, but not counted as failed.
// Usage: go test -json ./... | knownred FILE
package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// event is one line of `go test -json`. Test is empty in a package's own events. ImportPath takes the place of Package in the events
// of a build.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// name identifies the test, package or build that the event belongs to.
func (e *event) name() string {
	return strings.TrimSpace(cmp.Or(e.Package, e.ImportPath) + " " + e.Test)
}

// summary counts tests by result; failed also counts packages and builds.
type summary struct {
	passed, failed, skipped, passedOver int
	unexpected                          []string // "package test" of each counted failure
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred KNOWN-RED.txt")
		os.Exit(2)
	}
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	result, err := filterEvents(os.Stdin, os.Stdout, known)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, name := range result.unexpected {
		fmt.Println("FAILED", name)
	}
	fmt.Printf("%d known-red tests passed over\n", result.passedOver)
	fmt.Printf("%d passed, %d failed, %d skipped\n", result.passed, result.failed, result.skipped)
	if result.failed > 0 || result.passed == 0 {
		os.Exit(1)
	}
}

// readKnown returns the entries of KNOWN-RED.txt, keyed by "package test". It skips blank lines and comments.
func readKnown(file string) (map[string]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	known := make(map[string]string)
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if len(fields) < 3 {
			return nil, fmt.Errorf("%s: want PACKAGE TEST and the particulars: %q", file, line)
		}
		known[fields[0]+" "+fields[1]] = line
	}
	return known, nil
}

// filter is the state of filterEvents.
type filter struct {
	out    io.Writer
	known  map[string]string
	result summary
	output map[string]*strings.Builder // by name of the test, package or build
	// running holds the tests without a result so far, by package. A process that ends early leaves them there: go test attributes
	// what it printed last to the running test and reports only the package as failed.
	running    map[string]map[string]bool
	knownRed   map[string]bool // packages with a listed failure
	unexpected map[string]bool // packages with a failure that is not listed
}

// filterEvents reads events and prints passed packages and failures. It buffers the output of each test, and
// prints it only if the test fails and is not listed, or if the test's process ends before the test.
func filterEvents(in io.Reader, out io.Writer, known map[string]string) (summary, error) {
	f := &filter{
		out: out, known: known, output: make(map[string]*strings.Builder), running: make(map[string]map[string]bool),
		knownRed: make(map[string]bool), unexpected: make(map[string]bool),
	}
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return f.result, nil
		}
		if err != nil {
			return f.result, err
		}
		var ev event
		if json.Unmarshal(line, &ev) != nil {
			fmt.Fprintf(out, "%s", line)
			continue
		}
		f.handle(&ev)
	}
}

func (f *filter) handle(ev *event) {
	name := ev.name()
	switch ev.Action {
	case "run":
		if f.running[ev.Package] == nil {
			f.running[ev.Package] = make(map[string]bool)
		}
		f.running[ev.Package][ev.Test] = true
		return
	case "output", "build-output":
		if f.output[name] == nil {
			f.output[name] = &strings.Builder{}
		}
		f.output[name].WriteString(ev.Output)
		return
	case "pass":
		if ev.Test != "" {
			f.result.passed++
		} else {
			fmt.Fprintln(f.out, "ok  ", ev.Package)
		}
	case "skip":
		if ev.Test != "" {
			f.result.skipped++
		}
	case "fail", "build-fail":
		f.recordFailure(ev)
	default:
		return
	}
	delete(f.running[ev.Package], ev.Test)
	delete(f.output, name)
}

// recordFailure counts a failure as passed over if it is listed, else as failed, and prints it. A package's
// own fail event is ignored if all failures of its tests are listed and all its tests have a result.
func (f *filter) recordFailure(ev *event) {
	if line, listed := knownEntry(f.known, ev); listed {
		if !strings.Contains(ev.Test, "/") {
			f.result.passedOver++
			fmt.Fprintln(f.out, "KNOWN RED", line)
		}
		f.knownRed[ev.Package] = true
		return
	}
	var unfinished []string
	if ev.Test == "" {
		unfinished = slices.Sorted(maps.Keys(f.running[ev.Package]))
	}
	if ev.Test == "" && len(unfinished) == 0 && f.knownRed[ev.Package] && !f.unexpected[ev.Package] {
		return
	}
	f.unexpected[ev.Package] = true
	f.result.failed++
	f.result.unexpected = append(f.result.unexpected, ev.name())
	for _, test := range unfinished {
		fmt.Fprintf(f.out, "UNFINISHED %s %s\n", ev.Package, test)
		f.print(ev.Package + " " + test)
	}
	f.print(ev.name())
}

// print prints the buffered output of a test, package or build.
func (f *filter) print(name string) {
	if output := f.output[name]; output != nil {
		fmt.Fprint(f.out, output.String())
	}
}

// knownEntry returns the entry of a test, or of the top-level test of a subtest.
func knownEntry(known map[string]string, ev *event) (string, bool) {
	if ev.Test == "" {
		return "", false
	}
	topLevel, _, _ := strings.Cut(ev.Test, "/")
	line, ok := known[ev.Package+" "+topLevel]
	return line, ok
}
