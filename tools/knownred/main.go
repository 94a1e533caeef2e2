// Command knownred reads the output of `go test -json`, prints what a person needs, and passes over
// exactly the failing tests that KNOWN-RED.txt lists. Usage: go test -json ./... | knownred FILE
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

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type summary struct {
	passed, failed, skipped, passedOver int
	unexpected                          []string
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
	result, err := judge(os.Stdin, os.Stdout, known)
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

// readKnown returns the lines of the file by their first two words, package and test.
func readKnown(file string) (map[string]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	known := make(map[string]string)
	for _, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if len(words) < 3 {
			return nil, fmt.Errorf("%s: want PACKAGE TEST and the particulars: %q", file, line)
		}
		known[words[0]+" "+words[1]] = line
	}
	return known, nil
}

// judge reads events and keeps each test's output until its end; only failures are printed.
func judge(in io.Reader, out io.Writer, known map[string]string) (summary, error) {
	var result summary
	output := make(map[string]*strings.Builder)
	knownPackages := make(map[string]bool) // packages that fail by known-red tests alone
	badPackages := make(map[string]bool)
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return result, nil
		}
		if err != nil {
			return result, err
		}
		var one event
		if json.Unmarshal(line, &one) != nil {
			fmt.Fprintf(out, "%s", line)
			continue
		}
		name := one.Package + " " + one.Test
		switch one.Action {
		case "output", "build-output":
			if output[name] == nil {
				output[name] = &strings.Builder{}
			}
			output[name].WriteString(one.Output)
			continue
		case "pass":
			if one.Test != "" {
				result.passed++
			} else {
				fmt.Fprintln(out, "ok  ", one.Package)
			}
		case "skip":
			if one.Test != "" {
				result.skipped++
			}
		case "fail", "build-fail":
			record(out, &result, one, name, output[name], known, knownPackages, badPackages)
		default:
			continue
		}
		delete(output, name)
	}
}

func record(out io.Writer, result *summary, one event, name string, output *strings.Builder, known map[string]string, knownPackages, badPackages map[string]bool) {
	if line, listed := knownEntry(known, one); listed {
		if !strings.Contains(one.Test, "/") {
			result.passedOver++
			fmt.Fprintln(out, "KNOWN RED", line)
		}
		knownPackages[one.Package] = true
		return
	}
	if one.Test == "" && knownPackages[one.Package] && !badPackages[one.Package] {
		return
	}
	badPackages[one.Package] = true
	result.failed++
	result.unexpected = append(result.unexpected, name)
	if output != nil {
		fmt.Fprint(out, output.String())
	}
}

// knownEntry finds the entry of a test or of the test that it is a part of.
func knownEntry(known map[string]string, one event) (string, bool) {
	if one.Test == "" {
		return "", false
	}
	top, _, _ := strings.Cut(one.Test, "/")
	line, ok := known[one.Package+" "+top]
	return line, ok
}
