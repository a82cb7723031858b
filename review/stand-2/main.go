// Command stand plays one case of the second review: it starts the project's daemons as processes
// with the command of the deploy file, and stands in for the store, the operator, the runners and
// the clients.
//
//	stand NAME ROOT FOLDER
//
// It writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand NAME ROOT FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	f, err := newFleet(os.Args[2], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	broken, words, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.line("%s", words)
	fmt.Println(words)
	if broken {
		return 1
	}
	return 0
}
