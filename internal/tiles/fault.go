package tiles

import (
	"fmt"
	"net/http"
)

// Fault is the error of an invalid address, in the terms of the WMTS standard.
type Fault struct {
	Status  int    // of HTTP
	Code    string // one of the standard's exception codes, or empty
	Locator string // the invalid parameter, or empty
	Text    string // human-readable
	Report  bool   // the response is an exception report, as WMTS requires; otherwise plain text
}

// Error returns the fault's text.
func (f *Fault) Error() string { return f.Text }

// The standard's exception codes.
const (
	MissingParameter = "MissingParameterValue"
	InvalidParameter = "InvalidParameterValue"
	OutOfRange       = "TileOutOfRange"
	NotSupported     = "OperationNotSupported"
	NoApplicableCode = "NoApplicableCode"
)

// XML returns the fault as an exception report.
func (f *Fault) XML() []byte {
	locator := ""
	if f.Locator != "" {
		locator = fmt.Sprintf(" locator=%q", escapeXML(f.Locator))
	}
	return fmt.Appendf(nil, `<?xml version="1.0" encoding="UTF-8"?>
<ows:ExceptionReport xmlns:ows="http://www.opengis.net/ows/1.1" version="1.1.0" xml:lang="en">
  <ows:Exception exceptionCode=%q%s>
    <ows:ExceptionText>%s</ows:ExceptionText>
  </ows:Exception>
</ows:ExceptionReport>
`, f.Code, locator, escapeXML(f.Text))
}

// plainFault returns a fault whose response is plain text.
func plainFault(status int, text string) *Fault {
	return &Fault{Status: status, Text: text}
}

// reportedFault returns a fault whose response is an exception report with status 400.
func reportedFault(code, locator, text string) *Fault {
	return &Fault{Status: http.StatusBadRequest, Code: code, Locator: locator, Text: text, Report: true}
}

// missingParameter returns the fault of a request that lacks a parameter.
func missingParameter(name string) *Fault {
	return reportedFault(MissingParameter, name, name+" is missing")
}

// invalidParameter returns the fault of a parameter with an invalid value.
func invalidParameter(name, value string) *Fault {
	return reportedFault(InvalidParameter, name, fmt.Sprintf("%s cannot be %.40q", name, value))
}

// unsupportedOperation returns the fault of a WMTS operation that the service does not support.
func unsupportedOperation(text string) *Fault {
	fault := reportedFault(NotSupported, "Request", text)
	fault.Status = http.StatusNotImplemented
	return fault
}
