// Command rig plays the scripts of the third review: it starts instances of the project as processes, with stand-ins of the platform's store,
// of engines and of clients, all on loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// exits of the program.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// scene is what all cases have in common.
type scene struct {
	record  *record
	store   *store
	nodes   []*node
	trouble bool
	dir     string
}

var cases = map[string]func(s *scene) (int, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder for settings and logs; a temporary one if empty")
	flag.Parse()
	os.Exit(play(*name, *file, *logs))
}

func play(name, file, logs string) int {
	run := cases[name]
	out, err := os.Create(file)
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return cantRun
	}
	defer func() { _ = out.Close() }()
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-rig-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cantRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	dir, _ = filepath.Abs(dir)
	s := &scene{record: &record{file: out, started: time.Now(), counts: map[string]int{}}, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	go s.record.flushCounts()
	defer func() {
		for _, n := range s.nodes {
			n.kill()
		}
	}()
	result, err := run(s)
	if err != nil {
		s.record.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	return result
}

// begin starts the store, the engines and the instances, and waits until the instances are ready.
func (s *scene) begin(zones []string, config map[string]any, makeEngines func() ([]*engine, error)) error {
	addresses, err := freePorts(1)
	if err != nil {
		return err
	}
	if s.store, err = newStore(addresses[0]); err != nil {
		return err
	}
	s.store.Put("op/config", config)
	engines, err := makeEngines()
	if err != nil {
		return err
	}
	for _, e := range engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	if s.nodes, err = newNodes(s.dir, addresses[0], zones); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	if !awaitReady(s.nodes, 15*time.Second) {
		return fmt.Errorf("the instances are not ready within 15 s")
	}
	time.Sleep(3 * time.Second) // all are in touch
	s.record.line("%d instances and %d engines run", len(s.nodes), len(engines))
	return nil
}

// enginesIn makes a number of engines in each zone.
func (s *scene) enginesIn(kind *engineKind, zones []string, each int) ([]*engine, error) {
	var engines []*engine
	for _, zone := range zones {
		addresses, err := freePorts(each)
		if err != nil {
			return nil, err
		}
		for _, address := range addresses {
			engines = append(engines, newEngine(kind, s.store, zone, address))
		}
	}
	return engines, nil
}
