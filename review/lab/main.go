//go:build review

package lab

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Script is what a case does. It returns Held or Broken.
type Script func(dir string, record *Record) (status int, err error)

// Main runs a script with a temporary folder and the record of the folder that the flag
// dir names, and exits with its status. All hosts that were started are ended before.
func Main(script Script) {
	folder := flag.String("dir", "", "folder of the case")
	flag.Parse()
	record, err := NewRecord(*folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	end := sync.OnceFunc(func() {
		endHosts()
		record.Close()
		_ = os.RemoveAll(dir)
	})
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-interrupts
		end()
		os.Exit(NotRun)
	}()
	status, err := script(dir, record)
	if err != nil {
		record.Say("the case could not run: %v", err)
		status = NotRun
	}
	end()
	os.Exit(status)
}

// Trouble reports whether the script brings about its disturbance.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
