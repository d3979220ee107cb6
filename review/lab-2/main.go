//go:build review

// Command lab-2 plays the scripts of the review's second round of cases.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*cluster, bool) (int, error){"snapshot": playSnapshot}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-2 CASE BINARY FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCluster(binary, entriesOf[name], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.stop()
	code, err := cases[name](c, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

var entriesOf = map[string]int{"snapshot": 1}
