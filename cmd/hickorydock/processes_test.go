package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// addressVariables are set to free loopback addresses in each script.
var addressVariables = []string{"PLATFORM", "LEAF_A", "LEAF_B", "CALLERS", "ADMIN", "PEERS"}

// TestProcesses runs the cases in testdata/processes, in which every part of
// the system is a process. Besides the usual commands there is
//
//	eventually PROGRAM ARGS...  runs a program until it succeeds
//	reply STATUS URL [BODY]     asks a URL, by POST when there is a body, until it
//	                            replies with a status
//	holds URL TEXT              gets a URL until the reply holds a text
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/processes",
		Setup: func(env *testscript.Env) error {
			for _, name := range addressVariables {
				address, err := freeAddress()
				if err != nil {
					return err
				}
				env.Setenv(name, address)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"eventually": eventually,
			"reply":      awaitStatus,
			"holds":      awaitText,
		},
	})
}

const (
	eventuallyTries = 200
	eventuallyPause = 100 * time.Millisecond
)

func eventually(ts *testscript.TestScript, _ bool, args []string) {
	repeat(ts, args, func() error { return ts.Exec(args[0], args[1:]...) })
}

func awaitStatus(ts *testscript.TestScript, _ bool, args []string) {
	repeat(ts, args, func() error {
		status, _, err := ask(args[1:])
		if err == nil && strconv.Itoa(status) != args[0] {
			return fmt.Errorf("status %d", status)
		}
		return err
	})
}

func awaitText(ts *testscript.TestScript, _ bool, args []string) {
	repeat(ts, args, func() error {
		_, text, err := ask(args[:1])
		if err == nil && !strings.Contains(text, args[1]) {
			return errors.New("the text is not there")
		}
		return err
	})
}

// ask sends a GET to a URL, or a POST of a body when there is one.
func ask(args []string) (status int, text string, err error) {
	method, body := http.MethodGet, ""
	if len(args) > 1 {
		method, body = http.MethodPost, args[1]
	}
	request, err := http.NewRequest(method, args[0], strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	return response.StatusCode, string(reply), err
}

// repeat tries until a condition holds; a script that waits too long fails.
func repeat(ts *testscript.TestScript, args []string, try func() error) {
	var err error
	for range eventuallyTries {
		if err = try(); err == nil {
			return
		}
		time.Sleep(eventuallyPause)
	}
	ts.Fatalf("%v never succeeded: %v", args, err)
}
