package commander_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestARefusalAfterATryWithoutAnAnswerIsNotFinal guards against a command that says that
// nothing has run because a second entry refuses what a first one may have accepted.
func TestARefusalAfterATryWithoutAnAnswerIsNotFinal(t *testing.T) {
	lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer lost.Close()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	closed := listener.Addr().String()
	quicktest.Assert(t, listener.Close(), quicktest.IsNil)
	fakeEntry := startFakeEntry(t)
	fakeEntry.runSteps(t, []step{{[]string{"template", "apply", writeTemplate(t, deskSource)}, 0, []string{"OK revision 1"}}})
	submit := []string{"submit", "desk", "swap"}
	faulty := []string{"template", "apply", writeTemplate(t, strings.Replace(deskSource, "Share = 2", "Share = none", 1))}
	for name, test := range map[string]struct {
		first   string
		command []string
		status  int
		pattern string
	}{
		"a try without an answer":  {lost.Listener.Addr().String(), submit, 15, `Unknown \(\d+\): .*WrongKey[^[]*`},
		"an entry that is down":    {closed, submit, 12, `WrongKey .*\[NotRun\]\n`},
		"a refusal of the content": {lost.Listener.Addr().String(), faulty, 11, `BadTemplate .*\[NotRun\]\n.*`},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			status, printed := fakeEntry.runControl(append([]string{"-entries", test.first + "," + fakeEntry.address}, test.command...)...)
			c.Check(status, quicktest.Equals, test.status, quicktest.Commentf("%s", printed))
			c.Check(printed, quicktest.Matches, "(?s)"+test.pattern)
		})
	}
}
