//go:build review

// Command review-lab plays the cases of review/ that can't be put as a day. It starts the
// project's own programs as separate processes on loopback addresses, and plays the
// platform, the engines and the clients itself.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){
	"attempts": attemptsCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-lab:", err)
		return exitNotRun
	}
	defer l.close()
	l.note("case %s, disruption %t", name, trouble)
	broken, err := cases[name](l, trouble)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		l.note("the rule was broken")
		return exitBroken
	}
	l.note("the rule held")
	return exitHeld
}
