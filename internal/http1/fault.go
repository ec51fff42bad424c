package http1

// Fault is the error of an invalid message: its reason, and the HTTP status of the response to it.
type Fault struct {
	Status int
	Reason string
}

// Error returns the reason.
func (f *Fault) Error() string { return f.Reason }

// The faults of lines and headers.
var (
	errBareLineFeed     = &Fault{400, "a line does not end in CR LF"}
	errControlCharacter = &Fault{400, "a line holds a control character"}
	errHeaderName       = &Fault{400, "a header has no proper name"}
	errFoldedHeader     = &Fault{400, "a header is folded"}
)

// The faults of requests.
var (
	errRequestLine        = &Fault{400, "the request line cannot be read"}
	errRequestLineTooLong = &Fault{414, "the request line is too long"}
	errTargetNotPath      = &Fault{400, "the target is not a path"}
	errTargetNotEscaped   = &Fault{400, "the target holds what must be escaped"}
	errHost               = &Fault{400, "there is not one host header"}
	errLength             = &Fault{400, "the length cannot be read, or there are two"}
	errRequestBody        = &Fault{400, "a body is not taken"}
	errMethodNotAllowed   = &Fault{405, "only GET and HEAD are taken"}
	errExpectation        = &Fault{417, "nothing is expected here"}
	errHeadersTooLong     = &Fault{431, "the headers are too long"}
	errUnknownMethod      = &Fault{501, "this method is not known"}
	errTransferCoding     = &Fault{501, "this transfer coding is not taken"}
	errVersion            = &Fault{505, "this version is not spoken"}
)

// The faults of responses.
var (
	errResponseLineTooLong    = badResponse("a line is too long")
	errStatusLine             = badResponse("no status line")
	errTooManyInformational   = badResponse("too many answers before the answer")
	errResponseHeadersTooLong = badResponse("the headers are too long")
	errTrailersTooLong        = badResponse("the trailers are too long")
	errResponseLength         = badResponse("the length cannot be read, or there are two")
	errResponseCoding         = badResponse("this transfer coding is not taken, or stands beside a length")
	errChunkLength            = badResponse("a chunk's length cannot be read")
	errChunkEnd               = badResponse("a chunk does not end where its length says")
	errUnexpectedChunks       = badResponse("chunks where there can be no body")
)

// badResponse returns the fault of a server's response, for which the client gets status 502.
func badResponse(reason string) *Fault { return &Fault{502, reason} }
