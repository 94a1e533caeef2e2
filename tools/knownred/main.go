// Command knownred filters the output of `go test -json`: it prints the failures and a summary, and exits
// with 1 if a test or build fails that KNOWN-RED.txt does not list, or if no test passed, and with 2 if it
// can't read its input. Listed failures are printed, but not counted as failed.
// Usage: go test -json ./... | knownred FILE
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is one line of `go test -json`. Test is empty in a package's own events.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
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

// filterEvents reads events and prints passed packages and failures. It buffers the output of each test, and
// prints it only if the test fails and is not listed.
func filterEvents(in io.Reader, out io.Writer, known map[string]string) (summary, error) {
	var result summary
	output := make(map[string]*strings.Builder)
	knownRedPackages := make(map[string]bool)   // with a listed failure
	unexpectedPackages := make(map[string]bool) // with a failure that is not listed
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return result, nil
		}
		if err != nil {
			return result, err
		}
		var ev event
		if json.Unmarshal(line, &ev) != nil {
			fmt.Fprintf(out, "%s", line)
			continue
		}
		name := ev.Package + " " + ev.Test
		switch ev.Action {
		case "output", "build-output":
			if output[name] == nil {
				output[name] = &strings.Builder{}
			}
			output[name].WriteString(ev.Output)
			continue
		case "pass":
			if ev.Test != "" {
				result.passed++
			} else {
				fmt.Fprintln(out, "ok  ", ev.Package)
			}
		case "skip":
			if ev.Test != "" {
				result.skipped++
			}
		case "fail", "build-fail":
			recordFailure(out, &result, ev, name, output[name], known, knownRedPackages, unexpectedPackages)
		default:
			continue
		}
		delete(output, name)
	}
}

// recordFailure counts a failure as passed over if it is listed, else as failed, and prints it. A package's
// own fail event is ignored if all failures of its tests are listed.
func recordFailure(out io.Writer, result *summary, ev event, name string, output *strings.Builder, known map[string]string, knownRedPackages, unexpectedPackages map[string]bool) {
	if line, listed := knownEntry(known, ev); listed {
		if !strings.Contains(ev.Test, "/") {
			result.passedOver++
			fmt.Fprintln(out, "KNOWN RED", line)
		}
		knownRedPackages[ev.Package] = true
		return
	}
	if ev.Test == "" && knownRedPackages[ev.Package] && !unexpectedPackages[ev.Package] {
		return
	}
	unexpectedPackages[ev.Package] = true
	result.failed++
	result.unexpected = append(result.unexpected, name)
	if output != nil {
		fmt.Fprint(out, output.String())
	}
}

// knownEntry returns the entry of a test, or of the top-level test of a subtest.
func knownEntry(known map[string]string, ev event) (string, bool) {
	if ev.Test == "" {
		return "", false
	}
	topLevel, _, _ := strings.Cut(ev.Test, "/")
	line, ok := known[ev.Package+" "+topLevel]
	return line, ok
}
