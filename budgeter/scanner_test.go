package budgeter_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/budgeter"
)

// TestHeadsEndWhereNetHTTPEndsThem guards against a head whose end the scanner misses,
// so that it counts a body as a head, or finds too early.
func TestHeadsEndWhereNetHTTPEndsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"})
		value := rapid.SampledFrom([]string{"", "x", " spaced out", "x:y"})
		head := "POST /a HTTP/1.1" + lineEnd.Draw(t, "end") + "Host: h" + lineEnd.Draw(t, "end")
		lines := rapid.IntRange(0, 30).Draw(t, "lines")
		for index := range lines {
			head += fmt.Sprintf("K%d:%s%s", index, value.Draw(t, "value"), lineEnd.Draw(t, "end"))
		}
		head += lineEnd.Draw(t, "end")
		text := []byte(head + rapid.StringMatching(`[a-z\r\n]{0,40}`).Draw(t, "body"))
		reader := bufio.NewReader(bytes.NewReader(text))
		if _, err := http.ReadRequest(reader); err != nil {
			t.Fatalf("net/http refuses %q: %v", head, err)
		}
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		found := budgeter.ScanHead(text[:cut], text[cut:])
		if !found.Done || found.Bytes != len(head) || found.Lines != lines+2 || found.EmptyBytes != 0 {
			t.Fatalf("found %+v in a head of %d bytes and %d lines: %q", found, len(head), lines+2, head)
		}
	})
}

func TestHeadsWithoutEndAreRefused(t *testing.T) {
	limits := budgeter.DefaultLimits()
	for name, test := range map[string]struct {
		head  string
		cause budgeter.Cause
	}{
		"one long line":       {"GET /" + strings.Repeat("x", 30_000), budgeter.HeadTooLarge},
		"lines of a byte":     {"GET / HTTP/1.1\n" + strings.Repeat("a\n", 9_000), budgeter.TooManyLines},
		"carriage returns":    {"GET / HTTP/1.1\r\n" + strings.Repeat("\r", 30_000), budgeter.HeadTooLarge},
		"empty lines":         {strings.Repeat("\r\n", 100), budgeter.EmptyLines},
		"line feeds":          {strings.Repeat("\n", 100), budgeter.EmptyLines},
		"folded lines":        {"GET / HTTP/1.1\r\na: b\r\n" + strings.Repeat(" c\r\n", 8_000), budgeter.HeadTooLarge},
		"two empty lines":     {"\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
		"ordinary":            {"GET / HTTP/1.1\r\nHost: h\r\n\r\n" + strings.Repeat("\n", 50_000), ""},
		"the largest allowed": {"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 4_091), ""},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, budgeter.RefusalOf([]byte(test.head), limits), qt.Equals, test.cause)
		})
	}
}

// TestTheChargeCoversWhatNetHTTPKeeps guards against heads that take more than they are
// charged.
func TestTheChargeCoversWhatNetHTTPKeeps(t *testing.T) {
	const heads = 50
	for name, line := range map[string]func(int) string{
		"short names":     func(index int) string { return fmt.Sprintf("%c%c:", 'a'+index%26, 'a'+index/26%26) },
		"distinct names":  func(index int) string { return fmt.Sprintf("x%d:", index) },
		"one name":        func(int) string { return "a:" },
		"one name, value": func(int) string { return "a:b" },
		"long values":     func(index int) string { return fmt.Sprintf("x%d:%s", index, strings.Repeat("v", 1000)) },
	} {
		t.Run(name, func(t *testing.T) {
			var head strings.Builder
			head.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
			for index := 0; head.Len() < 16_000; index++ {
				head.WriteString(line(index) + "\r\n")
			}
			head.WriteString("\r\n")
			text := []byte(head.String())
			requests := make([]*http.Request, heads)
			before := heapBytes()
			for index := range requests {
				request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
				qt.Assert(t, err, qt.IsNil)
				requests[index] = request
			}
			kept := (heapBytes() - before) / heads
			runtime.KeepAlive(requests)
			cost := budgeter.ScanHead(text).Cost
			t.Logf("kept %d bytes, charged %d", kept, cost)
			qt.Check(t, kept <= cost+budgeter.RequestBytes, qt.IsTrue, qt.Commentf("kept %d bytes, charged %d", kept, cost))
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestMembersAreCountedOutsideStrings guards against a payload in a string that is
// charged, or refused, as if it were structure.
func TestMembersAreCountedOutsideStrings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.StringMatching(`[{},"\\a]{0,30}`).Draw(t, "payload")
		steps := rapid.IntRange(70, 100).Draw(t, "steps")
		if steps%2 == 0 {
			payload += strings.Repeat(",", 100)
		}
		value := map[string]any{"payload": payload, "steps": make([]struct{ A, B int }, steps)}
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		objects, members := budgeter.CountJSON(data)
		if objects != int64(steps)+1 || members != int64(steps)+1 {
			t.Fatalf("counted %d objects and %d commas in %s", objects, members, data)
		}
	})
}

// TestElementsOfListsCountAsObjects guards against lists of numbers, nulls or strings in
// place of steps, each of which is decoded to a whole step.
func TestElementsOfListsCountAsObjects(t *testing.T) {
	for _, element := range []string{"0", "null", `""`, "[]", "{}", `{"a":[1,2]}`} {
		data := []byte(`{"steps":[` + strings.Repeat(element+",", 4999) + element + `],"spec":"x"}`)
		objects, _ := budgeter.CountJSON(data)
		qt.Check(t, objects, qt.Equals, int64(5001), qt.Commentf("%s", element))
		qt.Check(t, budgeter.CheckJSON(data), qt.ErrorIs, budgeter.ErrTooManyMembers)
	}
	step := `{"count":1,"cpu":500,"memMb":100,"estimateMs":100,"after":[1,2,3]}`
	job := []byte(`{"spec":"x","steps":[` + strings.Repeat(step+",", 999) + step + `]}`)
	qt.Check(t, budgeter.CheckJSON(job), qt.IsNil)
}
