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

	"github.com/hickorydock/hickorydock/internal/transport/loopback"
)

// addressVariables are set to reserved loopback addresses in each script.
var addressVariables = []string{"PLATFORM", "LEAF_A", "LEAF_B", "CALLERS", "ADMIN", "PEERS"}

// TestProcesses runs the cases in testdata/processes, in which every component of
// the system is a separate process. Besides the usual commands there is
//
//	eventually PROGRAM ARGS...  runs a program until it succeeds
//	reply STATUS URL [BODY]     sends a GET, or a POST if there is a body, until the
//	                            reply has a status
//	holds URL TEXT              sends a GET until the reply contains a text
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/processes",
		Setup: func(env *testscript.Env) error {
			for _, name := range addressVariables {
				address, err := loopback.Reserve()
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
	maxTries      = 200
	retryInterval = 100 * time.Millisecond
)

func eventually(ts *testscript.TestScript, _ bool, args []string) {
	retry(ts, args, func() error { return ts.Exec(args[0], args[1:]...) })
}

func awaitStatus(ts *testscript.TestScript, _ bool, args []string) {
	retry(ts, args, func() error {
		status, _, err := sendRequest(args[1:])
		if err == nil && strconv.Itoa(status) != args[0] {
			return fmt.Errorf("status %d", status)
		}
		return err
	})
}

func awaitText(ts *testscript.TestScript, _ bool, args []string) {
	retry(ts, args, func() error {
		_, text, err := sendRequest(args[:1])
		if err == nil && !strings.Contains(text, args[1]) {
			return errors.New("the reply does not contain the text")
		}
		return err
	})
}

// sendRequest sends a GET to the URL args[0], or a POST with the body args[1] if
// there is one.
func sendRequest(args []string) (status int, text string, err error) {
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

// retry repeats try until it returns no error, and fails the script after maxTries.
func retry(ts *testscript.TestScript, args []string, try func() error) {
	var err error
	for range maxTries {
		if err = try(); err == nil {
			return
		}
		time.Sleep(retryInterval)
	}
	ts.Fatalf("%v never succeeded: %v", args, err)
}
