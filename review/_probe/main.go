// Command _probe plays the scripted cases of the third review: the entry program as separate processes, with stand-ins of the platform, the workers and the clients.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases maps the name of each case to the function that plays it; it returns whether the rule held.
var cases = map[string]func(r *recorder, trouble bool) (bool, error){
	"crashes":  crashes,
	"parallel": parallel,
	"cpuonly":  cpuOnly,
	"fills":    fills,
	"renamed":  renamed,
	"wide":     wide,
}

func main() { os.Exit(run()) }

func run() int {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-3 CASE RECORD")
		return exitNotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	held, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.say("not run: %v", err)
		return exitNotRun
	case held:
		record.say("the rule held")
		return exitHeld
	default:
		record.say("the rule was broken")
		return exitBroken
	}
}
