// Command rig plays the script cases of the review: it starts gateways and the
// stand-in of the store as separate processes, plays backends and requesters
// itself, and judges only what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the function of each case, which returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"endless": playEndless,
	"refused": playRefused,
	"encoded": playEncoded,
	"uploads": playUploads,
	"keys":    playKeys,
	"latin1":  playLatin1,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitFailed
	}
	w, err := newWorld(filepath.Join(*dir, "record.txt"), *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	broken, err := play(w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		w.note("RULE BROKEN")
		return exitBroken
	}
	w.note("rule held")
	return exitHeld
}
