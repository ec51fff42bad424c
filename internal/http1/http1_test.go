package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
)

// A request must be read the same way whatever pieces it arrives in, and an invalid one must be a fault.
func TestRequests(t *testing.T) {
	const host = "Host: a\r\n"
	tests := []struct{ stream, want string }{
		{"GET /a/1/2/3.png HTTP/1.1\r\n" + host + "\r\n", "GET /a/1/2/3.png [host: a] keep true; "},
		{
			"\r\nHEAD /a?b=c HTTP/1.1\r\n" + host + "X-Y:  z z \t\r\n\r\n",
			"HEAD /a?b=c [host: a] [x-y: z z] keep true; ",
		},
		{
			"GET / HTTP/1.0\r\n\r\nGET /b HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n",
			"GET / keep false; GET /b [connection: Keep-Alive] keep true; ",
		},
		{
			"GET / HTTP/1.1\r\n" + host + "Connection: x, close\r\n\r\n",
			"GET / [host: a] [connection: x, close] keep false; ",
		},
		{"GET http://h:1/x HTTP/1.1\r\n" + host + "\r\n", "GET /x [host: a] keep true; "},
		{"GET http://h HTTP/1.1\r\n" + host + "\r\n", "GET / [host: a] keep true; "},
		{
			"GET / HTTP/1.1\r\n" + host + "Content-Length: 0\r\n\r\n",
			"GET / [host: a] [content-length: 0] keep true; ",
		},
		{"GET /\r\n", "400 the request line cannot be read"},
		{"hello\r\n", "400 the request line cannot be read"},
		{"GET / HTTP/1.1 x\r\n", "400 the request line cannot be read"},
		{"GET  / HTTP/1.1\r\n", "400 the request line cannot be read"},
		{"GET / HTTP/2.0\r\n", "505 this version is not spoken"},
		{"GET / http/1.1\r\n", "400 the request line cannot be read"},
		{"POST / HTTP/1.1\r\n", "405 only GET and HEAD are taken"},
		{"BREW / HTTP/1.1\r\n", "501 this method is not known"},
		{"get / HTTP/1.1\r\n", "501 this method is not known"},
		{"GET x HTTP/1.1\r\n", "400 the target is not a path"},
		{"GET /\xff HTTP/1.1\r\n", "400 the target holds what must be escaped"},
		{"GET / HTTP/1.1\n", "400 a line does not end in CR LF"},
		{"GET / HTTP/1.1\r\nHost: a\n\r\n", "GET /400 a line does not end in CR LF"},
		{"GET / HTTP/1.1\r\nA: b\rc\r\n", "GET /400 a line holds a control character"},
		{"GET / HTTP/1.1\r\n\r\n", "GET /400 there is not one host header"},
		{
			"GET / HTTP/1.1\r\n" + host + host + "\r\n",
			"GET / [host: a] [host: a]400 there is not one host header",
		},
		{"GET / HTTP/1.1\r\nA: b\r\n c\r\n", "GET / [a: b]400 a header is folded"},
		{"GET / HTTP/1.1\r\nA b: c\r\n", "GET /400 a header has no proper name"},
		{"GET / HTTP/1.1\r\nA : c\r\n", "GET /400 a header has no proper name"},
		{"GET / HTTP/1.1\r\n: c\r\n", "GET /400 a header has no proper name"},
		{
			"GET / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n",
			"GET / [content-length: 0]400 the length cannot be read, or there are two",
		},
		{"GET / HTTP/1.1\r\nContent-Length: +1\r\n", "GET /400 the length cannot be read, or there are two"},
		{"GET / HTTP/1.1\r\nContent-Length: 5\r\n", "GET /400 a body is not taken"},
		{
			"GET / HTTP/1.1\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n",
			"GET / [content-length: 0]400 the length cannot be read, or there are two",
		},
		{"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", "GET /501 this transfer coding is not taken"},
		{"GET /" + strings.Repeat("7", 5000) + " HTTP/1.1\r\n", "414 the request line is too long"},
		{"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 5000), "GET /431 the headers are too long"},
		{
			"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 70),
			"GET /" + strings.Repeat(" [a: b]", 64) + "431 the headers are too long",
		},
	}
	for _, test := range tests {
		for _, piece := range []int{1, 7, 4000} {
			if got := readInPieces(&requests{}, test.stream, piece, 8192, &recorder{}); got != test.want {
				t.Errorf("%.80q in pieces of %d:\ngot  %s\nwant %s", test.stream, piece, got, test.want)
			}
		}
	}
}

// A response must be read the same way whatever pieces it arrives in, and an invalid one must be a fault.
func TestResponses(t *testing.T) {
	tests := []struct{ stream, want string }{
		{
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nETag: \"x\"\r\n\r\nhelloHTTP/1.1 304 Not\r\nContent-Length: 9\r\n\r\n",
			`200 [etag: "x"] "hello" keep true; 304 "" keep true; `,
		},
		{
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n",
			`200 "abcde" keep true; `,
		},
		{"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", `200 "x" keep false; `},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\nConnection: close\r\n\r\n", `204 "" keep false; `},
		{"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", `200 "" keep true; `},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", "200"},
		{
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n",
			"200502 the length cannot be read, or there are two",
		},
		{
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n",
			"200502 this transfer coding is not taken, or stands beside a length",
		},
		{
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
			"200502 this transfer coding is not taken, or stands beside a length",
		},
		{"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n", "200502 the length cannot be read, or there are two"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n", "200502 too large"},
		{
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
			"200502 a chunk's length cannot be read",
		},
		{
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
			"200502 a chunk's length cannot be read",
		},
		{
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
			"200502 a chunk does not end where its length says",
		},
		{"HTTP/1.1 2x0 OK\r\n", "502 no status line"},
		{"HTTP/2 200 OK\r\n", "502 no status line"},
		{"\x00noise\r\n", "400 a line holds a control character"},
		{"HTTP/1.1 101 Switching\r\n\r\n", "502 too many answers before the answer"},
	}
	for _, test := range tests {
		for _, piece := range []int{1, 7, 4000} {
			if got := readInPieces(&responses{}, test.stream, piece, 8192, &recorder{bound: 1000}); got != test.want {
				t.Errorf("%.80q in pieces of %d:\ngot  %s\nwant %s", test.stream, piece, got, test.want)
			}
		}
	}
}

// A body without a length ends with the connection. Any other response that the end of the connection interrupts is
// incomplete.
func TestBodyUntilClose(t *testing.T) {
	r, n := &responses{}, &recorder{}
	readInPieces(r, "HTTP/1.1 200 OK\r\n\r\nhello", 3, 512, n)
	if !r.Closed(n) || n.String() != `200 "hello" keep false; ` {
		t.Errorf("a body without a length: got %s, want it complete after the end of the connection", n)
	}
	r, n = &responses{}, &recorder{}
	readInPieces(r, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", 3, 512, n)
	if r.Closed(n) || !r.Begun() {
		t.Error("a body shorter than its stated length is taken for complete")
	}
}

// Requests and responses that the standard library writes, thousands of each, must be read with the same meaning. After
// a random change of one byte in a request, this package and the standard library must agree on its method and target
// if both accept it: a request must not be ambiguous.
func TestAgainstStandardLibrary(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 3000 {
		target := fmt.Sprintf("/layer-%d/%d/%d/%d.png?x=%d", i%7, rng.IntN(20), rng.IntN(1000), rng.IntN(1000), i)
		request, err := http.NewRequest([]string{"GET", "HEAD"}[i%2], "http://host"+target, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("If-None-Match", fmt.Sprintf("%q", fmt.Sprint(i)))
		request.Close = i%3 == 0
		var text bytes.Buffer
		request.Write(&text)
		want := fmt.Sprintf("%s %s", request.Method, target)
		if got := readInPieces(&requests{}, text.String(), 1+i%50, 4096, &recorder{}); !strings.HasPrefix(got, want) ||
			!strings.HasSuffix(got, fmt.Sprintf("keep %t; ", i%3 != 0)) {
			t.Fatalf("%q: got %s, want its method, target and keep-alive", text.String(), got)
		}
		// One byte is changed: if both still accept the request, they agree on method and target.
		changed := text.Bytes()
		changed[rng.IntN(len(changed))] = byte(rng.IntN(256))
		parsed := readInPieces(&requests{}, string(changed), 4096, 8192, &recorder{})
		standard, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(changed)))
		if strings.HasSuffix(parsed, "; ") && err == nil && standard.URL.Host == "" &&
			!strings.HasPrefix(parsed, standard.Method+" "+standard.RequestURI) {
			t.Fatalf("%q: got %s, the standard library got %s %s", changed, parsed, standard.Method, standard.RequestURI)
		}
	}
	for i := range 3000 {
		body := strings.Repeat("x", rng.IntN(3000))
		answer := http.Response{
			StatusCode:    []int{200, 404, 503}[i%3],
			ProtoMajor:    1,
			ProtoMinor:    1,
			ContentLength: int64(len(body)),
			Body:          io.NopCloser(strings.NewReader(body)),
			Header:        http.Header{"Etag": {fmt.Sprint(i)}},
		}
		if i%2 == 0 {
			answer.ContentLength, answer.TransferEncoding = -1, []string{"chunked"}
		}
		var text bytes.Buffer
		answer.Write(&text)
		want := fmt.Sprintf("%d [etag: %d] %q keep true; ", answer.StatusCode, i, body)
		if i%2 == 1 && len(body) == 0 { // the library then writes either no length or a length of 0
			continue
		}
		if got := readInPieces(&responses{}, text.String(), 1+i%700, 4096, &recorder{}); got != want {
			t.Fatalf("%.200q: got %.200s, want %.200s", text.String(), got, want)
		}
	}
}

// A reader must not panic on any input, and must read it the same way however it is cut into pieces.
func FuzzReaders(f *testing.F) {
	f.Add("GET /a/1/2/3.png HTTP/1.1\r\nHost: a\r\n\r\n", 3)
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 2)
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 4)
	f.Fuzz(func(t *testing.T, stream string, piece int) {
		piece = 1 + int(uint(piece)%60)
		newReaders := []func() reader{
			func() reader { return &requests{} },
			func() reader { return &responses{} },
		}
		for _, newReader := range newReaders {
			inPieces := readInPieces(newReader(), stream, piece, 64, &recorder{bound: 1000})
			whole := readInPieces(newReader(), stream, 64, 64, &recorder{bound: 1000})
			if inPieces != whole {
				t.Errorf("%q in pieces of %d: got %s, whole %s", stream, piece, inPieces, whole)
			}
		}
	})
}

func BenchmarkRequest(b *testing.B) {
	stream := "GET /roads/12/2345/1456.png HTTP/1.1\r\nHost: a\r\nAccept: image/png\r\nIf-None-Match: \"abc\"\r\n\r\n"
	r, n := &requests{}, &recorder{}
	b.ReportAllocs()
	for range b.N {
		n.Reset()
		readInPieces(r, stream, len(stream), 4096, n)
	}
}
