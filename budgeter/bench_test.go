package budgeter_test

import (
	"testing"

	"github.com/dotterelrill/dotterelrill/budgeter"
)

// BenchmarkAccountOfARequest measures what the counting adds to a request.
func BenchmarkAccountOfARequest(b *testing.B) {
	budget := budgeter.New(budgeter.Config{Bytes: 32 << 20, Connections: 1000})
	account, _ := budget.Open("10.0.0.1", func() {})
	b.ReportAllocs()
	for b.Loop() {
		_ = account.BeginHead(2000)
		_ = account.BeginRequest(0, "key")
		_ = account.Charge(3000)
		_ = account.Forward()
		account.EndRequest()
	}
}

// BenchmarkScanOfAHead measures the scan of a head of ordinary size.
func BenchmarkScanOfAHead(b *testing.B) {
	head := []byte("POST /jobs/swap HTTP/1.1\r\nHost: desk.example.org\r\nUser-Agent: client/1.0\r\nContent-Length: 900\r\nX-Api-Key: 0123456789abcdef\r\nX-Deadline-Ms: 3000\r\nAccept-Encoding: gzip\r\nContent-Type: application/json\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		budgeter.ScanHead(head)
	}
}
