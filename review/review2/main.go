// Command review2 plays one case of the second review: it starts a small site of separate
// processes, brings the disruption about, and checks the rule. Its exit status is 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 there is no
// disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by name. Each reports whether the rule held.
var cases = map[string]func(s *site, trouble bool) (held bool, err error){
	"silent-links":    silentLinks,
	"crowd-of-bodies": crowdOfBodies,
	"crowd-of-fields": crowdOfFields,
	"chunked-answers": chunkedAnswers,
}

const (
	statusBroken = 1
	statusNotRun = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) (status int) {
	held, err := play(args)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	case !held:
		fmt.Println("the rule was broken")
		return statusBroken
	}
	fmt.Println("the rule held")
	return 0
}

func play(args []string) (held bool, err error) {
	if len(args) != 2 || cases[args[0]] == nil {
		return false, errors.New("usage: review2 CASE FOLDER")
	}
	s, err := newSite(args[1])
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.stop()
		os.Exit(statusNotRun)
	}()
	return cases[args[0]](s, os.Getenv("TROUBLE") != "0")
}
